import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the project's own programs, started with the commands of
 * the deploy file, and the stand-ins around them. All addresses are in one network 127.x.y.0.
 */
final class SmallFleet {
    final Record record;
    final Path folder;
    final String network;
    final int frontendPort;
    final int readyPort;
    final int controlPort;
    final int peerPort;
    final int listPort;
    final int replicaPort;
    final List<Host> hosts = new ArrayList<>();

    SmallFleet(Record record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("primroseflow-case-");
        long pid = ProcessHandle.current().pid();
        network = "127." + (64 + pid % 128) + "." + (pid / 128 % 256) + ".";
        // Ports that are free on one address of the network are free on all of them.
        List<ServerSocket> held = new ArrayList<>();
        int[] ports = new int[6];
        for (int i = 0; i < ports.length; i++) {
            ServerSocket socket = new ServerSocket();
            socket.bind(new InetSocketAddress(ip(1), 0));
            held.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : held) socket.close();
        frontendPort = ports[0];
        readyPort = ports[1];
        controlPort = ports[2];
        peerPort = ports[3];
        listPort = ports[4];
        replicaPort = ports[5];
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    String ip(int last) {
        return network + last;
    }

    private synchronized void endAll() {
        for (Host host : hosts) {
            if (host.process != null) host.process.destroyForcibly();
        }
        for (Host host : hosts) {
            try {
                if (host.process != null) host.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
        try {
            delete(folder);
        } catch (IOException e) {
            System.err.println("left behind: " + folder);
        }
    }

    /** Returns the command of a role in the deploy file. */
    private static List<String> command(String role) throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher matcher = Pattern.compile(
            "\\[roles\\." + role + "]\\s*\\n(?:(?!\\[).*\\n)*?run = \"([^\"]*)\"").matcher(text);
        if (!matcher.find()) throw new IOException("the deploy file has no role " + role);
        return List.of(matcher.group(1).split(" "));
    }

    static void delete(Path path) throws IOException {
        if (!Files.exists(path)) return;
        try (Stream<Path> all = Files.walk(path)) {
            for (Path each : all.sorted(Comparator.reverseOrder()).toList()) Files.delete(each);
        }
    }

    /** A machine with one process. */
    final class Host {
        final String name;
        final String ip;
        final boolean isControl;
        final String zone;
        List<String> seeds;
        int ownPeerPort = peerPort;
        volatile Process process;

        Host(String name, String ip, boolean isControl, String zone, List<String> seeds) {
            this.name = name;
            this.ip = ip;
            this.isControl = isControl;
            this.zone = zone;
            this.seeds = seeds;
            hosts.add(this);
        }

        Path disk() {
            return folder.resolve(name + ".data");
        }

        void start(boolean bootstrap) throws IOException {
            if (isControl) Files.createDirectories(disk());
            Path settings = folder.resolve(name + ".yaml");
            Files.writeString(settings, settings(bootstrap));
            ProcessBuilder builder = new ProcessBuilder(command(isControl ? "control" : "entry"));
            builder.redirectErrorStream(true);
            File log = folder.resolve(name + ".log").toFile();
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            builder.environment().keySet()
                .retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("PRIMROSEFLOW_CONFIG", settings.toString());
            process = builder.start();
            record.say(name + " (" + ip + ") starts, bootstrap " + bootstrap + ", seeds " + seeds);
        }

        private String settings(boolean bootstrap) {
            String listen = isControl
                ? "  control: \"" + ip + ":" + controlPort + "\"\n"
                : "  frontend: \"" + ip + ":" + frontendPort + "\"\n  ready: \"" + ip + ":"
                    + readyPort + "\"\n";
            return "nodeName: \"" + name + "\"\n"
                + "role: \"" + (isControl ? "control" : "entry") + "\"\n"
                + "machineClass: \"" + (isControl ? "core" : "edge") + "\"\n"
                + "serves:\n  - \"" + (isControl ? "control" : "edge") + "\"\n"
                + "ip: \"" + ip + "\"\n"
                + "zone: \"" + zone + "\"\n"
                + "region: \"nordvale\"\n"
                + "zones:\n  zone-a: \"nordvale\"\n  zone-b: \"nordvale\"\n  zone-c: \"nordvale\"\n"
                + "listen:\n" + listen
                + "portRange:\n  - " + ownPeerPort + "\n  - " + (ownPeerPort + 15) + "\n"
                + "seeds:\n" + seeds.stream()
                    .map(it -> "  - \"" + it + ":" + controlPort + "\"\n")
                    .collect(Collectors.joining())
                + "bootstrap: " + bootstrap + "\n"
                + "inTolerance: " + isControl + "\n"
                + "limits:\n  cpuShare: 0.75\n  cores: 1\n  memoryMb: 430\n  maxFds: 4100\n"
                + "  linkMbps: 1000.0\n  diskMb: " + (isControl ? 128 : 0) + "\n"
                + "dataDir: " + (isControl ? "\"" + disk() + "\"" : "null") + "\n"
                + "discovery: \"cloud_api\"\nentry: \"vip\"\nheartbeatMs: 1200\n"
                + "contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n"
                + "  - \"retry\"\n  - \"recover\"\n  - \"engine\"\n  - \"stream\"\n"
                + "  - \"tenants\"\n  - \"quota\"\n"
                + "faultTolerance:\n  machines: 1\n  zones: 1\n  regions: 0\n"
                + "bounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  contactMs: 3000\n  ackMs: 4000\n"
                + "  catchUpS: 4\n  drainMs: 3000\n  graceS: 8\n  lossSlackMs: 200\n"
                + "  configApplyMs: 2000\n  rollbackSlackMs: 250\n  maxSkewMs: 5000\n"
                + "  revokeStrict: true\n  revokeMs: 5000\n  retryBudgetRatio: 0.2\n"
                + "  budgetWindowS: 10\n  budgetSlack: 52\n  quotaWindowS: 8\n"
                + "  quotaOvershoot: 0.1\n  quotaSlack: 140000\n  recoveryS: 12\n"
                + "  passMs: 120\n  retryAfterS: 10\n"
                + "configMode: \"highest\"\n"
                + "cloud:\n  address: \"" + ip(5) + ":" + listPort + "\"\n  ratePerS: 47.0\n"
                + "  duties: []\n  lagMs: 800\n";
        }
    }

    /** A replica of a service, which counts what it runs. */
    record Replica(String id, String service, String ip, String zone) {}

    final List<Replica> replicas = new ArrayList<>();

    interface RunListener {
        void onRun(Replica replica, Http.Message request);
    }

    /** Starts a replica that answers each request at once. */
    void startReplica(Replica replica, RunListener listener) throws IOException {
        replicas.add(replica);
        Http.serve(replica.ip, replicaPort, request -> {
            String expected = request.fields().get("x-expect-instance");
            String id = request.fields().get("x-request-id");
            if (request.path().equals("/healthz")) {
                return Http.response(200,
                    "X-Instance-Id: " + replica.id + "\r\nX-Server-Load: 0,0,8\r\n", "");
            }
            if (expected != null && !expected.equals(replica.id)) {
                return Http.response(421, "X-Not-Executed: 1\r\n", "");
            }
            if (id == null) return Http.response(400, "X-Not-Executed: 1\r\n", "");
            record.line("run " + id + " at " + replica.id + " of " + replica.service);
            listener.onRun(replica, request);
            return Http.response(200, "X-Request-Id: " + id + "\r\nX-Response-Signature: s." + id
                + "\r\nX-Server-Load: 0,0,8\r\nContent-Type: text/plain\r\n", "done " + id);
        });
    }

    /** Serves the platform's list of replicas. */
    void startList() throws IOException {
        Http.serve(ip(5), listPort, request -> {
            String entries = replicas.stream().map(it -> "{\"service\":\"" + it.service
                + "\",\"address\":\"" + it.ip + ":" + replicaPort + "\",\"zone\":\"" + it.zone
                + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,"
                + "\"id\":\"" + it.id + "\"}").collect(Collectors.joining(","));
            return Http.response(200, "Content-Type: application/json\r\n",
                "{\"instances\":[" + entries + "],\"next\":null}");
        });
    }

    /** Sends a configuration to one control host after the other until one acknowledges it. */
    boolean put(List<Host> controls, String configuration, long version, double seconds)
        throws InterruptedException {
        double end = record.now() + seconds;
        int turn = 0;
        String last = "";
        while (record.now() < end) {
            Host host = controls.get(turn++ % controls.size());
            try {
                Http.Message answer = Http.call(host.ip, controlPort, "PUT", "/-/config",
                    Map.of("Content-Type", "application/json"), configuration, 3500);
                if (answer.status() == 200) {
                    record.say("configuration " + version + " is acknowledged by " + host.name);
                    return true;
                }
                last = host.name + " answers " + answer.status();
            } catch (IOException e) {
                last = host.name + ": " + e.getMessage();
            }
            record.line("configuration " + version + " is not acknowledged: " + last);
            Thread.sleep(250);
        }
        record.say("configuration " + version + " is not acknowledged within " + seconds
            + " s; last: " + last);
        return false;
    }

    /** HTTP/1.1 messages with a Content-Length, for the stand-ins and the clients of the cases. */
    static final class Http {
        private Http() {}

        /** A message; {@code start} is its first line, and names of fields are in lower case. */
        record Message(String start, Map<String, String> fields, byte[] body) {
            int status() {
                return Integer.parseInt(start.split(" ")[1]);
            }

            String method() {
                return start.split(" ")[0];
            }

            String path() {
                return start.split(" ")[1];
            }

            String text() {
                return new String(body, StandardCharsets.UTF_8);
            }
        }

        /** Handles one request and returns the whole response, or {@code null} to close. */
        interface Handler {
            byte[] handle(Message request) throws Exception;
        }

        /** Serves {@code handler} on an address until the process ends. */
        static void serve(String ip, int port, Handler handler) throws IOException {
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(ip, port), 512);
            daemon("server " + ip, () -> {
                while (true) {
                    Socket socket = server.accept();
                    daemon("connection " + ip, () -> converse(socket, handler));
                }
            });
        }

        private static void converse(Socket socket, Handler handler) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream input = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Message request = read(input);
                    if (request == null) return;
                    byte[] response = handler.handle(request);
                    if (response == null) return;
                    socket.getOutputStream().write(response);
                }
            } catch (IOException e) {
                // The other side has closed the connection.
            }
        }

        /** Sends one request on a new connection; the limit is that of each read. */
        static Message call(
            String ip, int port, String method, String path, Map<String, String> fields, String body,
            int timeoutMs
        ) throws IOException {
            try (Socket socket = new Socket()) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(timeoutMs);
                socket.connect(new InetSocketAddress(ip, port), 1000);
                OutputStream output = socket.getOutputStream();
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
                if (!fields.containsKey("Host")) head.append("Host: ").append(ip).append("\r\n");
                fields.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
                head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                all.write(head.toString().getBytes(StandardCharsets.UTF_8));
                all.write(bytes);
                output.write(all.toByteArray());
                Message answer = read(new BufferedInputStream(socket.getInputStream()));
                if (answer == null) throw new IOException("closed without an answer");
                return answer;
            }
        }

        /** Reads a message, or returns {@code null} at the end of the input. */
        static Message read(InputStream input) throws IOException {
            String start = line(input);
            if (start == null) return null;
            Map<String, String> fields = new LinkedHashMap<>();
            while (true) {
                String line = line(input);
                if (line == null) throw new IOException("ended within a head");
                if (line.isEmpty()) break;
                int colon = line.indexOf(':');
                fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
            }
            int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
            byte[] body = input.readNBytes(length);
            if (body.length < length) throw new IOException("ended within a body");
            return new Message(start, fields, body);
        }

        private static String line(InputStream input) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            while (true) {
                int next = input.read();
                if (next < 0) return null;
                if (next == '\n') return line.toString(StandardCharsets.UTF_8).replaceAll("\r$", "");
                line.write(next);
            }
        }

        static byte[] response(int status, String fields, String body) {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = "HTTP/1.1 " + status + " " + (status == 200 ? "OK" : "Refused") + "\r\n"
                + fields + "Content-Length: " + bytes.length + "\r\n\r\n";
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(head.getBytes(StandardCharsets.UTF_8));
            all.writeBytes(bytes);
            return all.toByteArray();
        }

        interface Step {
            void run() throws Exception;
        }

        static Thread daemon(String name, Step step) {
            Thread thread = new Thread(() -> {
                try {
                    step.run();
                } catch (Exception e) {
                    if (!(e instanceof IOException)) e.printStackTrace();
                }
            }, name);
            thread.setDaemon(true);
            thread.start();
            return thread;
        }
    }

    /** The file record.txt of a case: what was sent, answered and run, with seconds since the start. */
    static final class Record {
        private final long start = System.nanoTime();
        private final PrintWriter file;

        Record(Path path) throws IOException {
            file = new PrintWriter(path.toFile(), "UTF-8");
        }

        double now() {
            return (System.nanoTime() - start) / 1e9;
        }

        synchronized void line(String text) {
            file.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
            file.flush();
        }

        /** Writes a line and also shows it. */
        void say(String text) {
            line(text);
            System.out.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
        }
    }
}
