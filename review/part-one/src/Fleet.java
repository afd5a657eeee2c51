import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
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
final class Fleet {
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

    /** Machines of the core that may be lost at the same time, as the settings state it. */
    int toleratedMachines = 1;

    Fleet(Record record) throws IOException {
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
            String kept = System.getenv("KEEP_LOGS");
            if (kept != null) log = new File(kept, name + ".log");
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            builder.environment().keySet()
                .retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("PRIMROSEFLOW_CONFIG", settings.toString());
            process = builder.start();
            record.say(name + " (" + ip + ") starts, bootstrap " + bootstrap + ", seeds " + seeds);
        }

        /** Ends the process with SIGKILL, as when the machine fails. */
        void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
            record.say(name + " is killed");
        }

        /** Empties the disk of the machine, whose process has ended. */
        void loseDisk() throws IOException {
            delete(disk());
            record.say(name + " loses its disk");
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
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
                + "faultTolerance:\n  machines: " + toleratedMachines
                + "\n  zones: 1\n  regions: 0\n"
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

    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

    /** Returns the version that a control host reads back, or -1 without a 200. */
    long read(Host host) {
        try {
            Http.Message answer =
                Http.call(host.ip, controlPort, "GET", "/-/config", Map.of(), "", 3500);
            if (answer.status() != 200) {
                record.line("read at " + host.name + ": " + answer.status());
                return -1;
            }
            Matcher matcher = VERSION.matcher(answer.text());
            long version = matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
            record.line("read at " + host.name + ": version " + version);
            return version;
        } catch (IOException e) {
            record.line("read at " + host.name + ": " + e.getMessage());
            return -1;
        }
    }

    /** Returns a gauge on the metrics page of a host, or -1. */
    double gauge(Host host, String name) {
        try {
            String page =
                Http.call(host.ip, 9464, "GET", "/metrics", Map.of(), "", 1000).text();
            for (String line : page.split("\n")) {
                if (line.startsWith(name + " ")) {
                    return Double.parseDouble(line.substring(name.length()).trim());
                }
            }
        } catch (IOException | RuntimeException e) {
            return -1;
        }
        return -1;
    }
}
