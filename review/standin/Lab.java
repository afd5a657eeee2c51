import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
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
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback addresses: control and entry hosts as separate processes, started
 * with the commands of the deploy file, the platform's list of replicas, and the operator.
 *
 * Every machine has a loopback address of its own, so that the ports are the same on all machines.
 */
final class Lab implements AutoCloseable {
    static final String HOST = "shop.example";
    static final String KEY = "key-of-team-one";
    static final String TEAM = "team-one";

    /** Port of the metrics in the commands of the deploy file. */
    private static final int METRICS_PORT = 9464;

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    private final Path root;
    private final Path work;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final String net;
    private final int callerPort;
    private final int readyPort;
    private final int operatorPort;
    private final int peerPort;
    private final int listPort;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, String> instances = new ConcurrentHashMap<>();
    private final List<AutoCloseable> standIns = new ArrayList<>();
    private final ServerSocket list;
    long lastVersion = 0;

    /** Opens a record in {@code folder}, the folder of the case. */
    Lab(String folder) throws Exception {
        this.folder = Path.of(folder);
        root = Path.of("").toAbsolutePath();
        work = Files.createTempDirectory("review");
        record = new PrintWriter(this.folder.resolve("record.txt").toFile(), StandardCharsets.UTF_8);
        Random random = new Random();
        net = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
        int base = freeBase(random);
        callerPort = base;
        readyPort = base + 1;
        operatorPort = base + 2;
        listPort = base + 3;
        peerPort = base + 10;
        list = new ServerSocket();
        list.setReuseAddress(true);
        list.bind(new InetSocketAddress(net + "250", listPort));
        daemon("list", this::serveList);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        note("trouble", hasTrouble ? "on" : "off");
    }

    private int freeBase(Random random) throws IOException {
        for (int i = 0; i < 50; i++) {
            int base = 20_000 + random.nextInt(10_000);
            boolean isFree = true;
            for (int port = base; port < base + 26 && isFree; port++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress("0.0.0.0", port));
                } catch (IOException e) {
                    isFree = false;
                }
            }
            if (isFree) return base;
        }
        throw new IOException("no free range of ports");
    }

    /** Writes a line to the record, with the seconds since the start. */
    synchronized void note(String what, Object detail) {
        record.printf("%8.3f  %-18s %s%n", seconds(), what, detail);
        record.flush();
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    // ---- machines

    /** One machine with one process of the project. */
    final class Machine {
        final String name;
        final String ip;
        final boolean isControl;
        final Path settings;
        final Path data;
        Process process;

        Machine(String name, String ip, boolean isControl) throws IOException {
            this.name = name;
            this.ip = ip;
            this.isControl = isControl;
            Path home = Files.createDirectories(work.resolve(name));
            settings = home.resolve("local.yaml");
            data = home.resolve("data");
        }

        void start(boolean isFirstStart) throws IOException {
            Files.writeString(settings, settingsOf(this, isFirstStart));
            List<String> command = new ArrayList<>(commandOf(isControl ? "control" : "entry"));
            if (command.get(0).equals("java")) {
                String home = System.getProperty("java.home");
                command.set(0, home + "/bin/java");
            }
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().put("PRIMROSEFLOW_CONFIG", settings.toString());
            File log = work.resolve(name + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            process = builder.start();
            note("start", name + " at " + ip);
        }

        void kill() throws Exception {
            note("kill", name);
            process.destroyForcibly().waitFor();
        }

        void signal(String signal) throws Exception {
            note("signal " + signal, name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            try {
                return new Http(ip, readyPort, 1_000).exchange("GET", "/-/readyz", "ready", "", "").status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean leads() {
            try (Http client = new Http(ip, METRICS_PORT, 1_000)) {
                Http.Answer page = client.exchange("GET", "/metrics", "metrics", "", "");
                return page.body.lines()
                    .anyMatch(it -> it.matches("[a-z_]*control_leader(\\{.*\\})? 1(\\.0)?"));
            } catch (IOException e) {
                return false;
            }
        }

        String log() throws IOException {
            return Files.readString(work.resolve(name + ".log"));
        }

        int callerPort() {
            return callerPort;
        }
    }

    /** Creates and starts control hosts c1, c2, c3 and entry hosts e1, e2, ... */
    void startSystem(int entryHosts) throws Exception {
        for (int i = 1; i <= 3; i++) machines.put("c" + i, new Machine("c" + i, net + i, true));
        for (int i = 1; i <= entryHosts; i++) {
            machines.put("e" + i, new Machine("e" + i, net + (10 + i), false));
        }
        for (Machine machine : machines.values()) machine.start(true);
    }

    Machine machine(String name) {
        return machines.get(name);
    }

    /** Waits until all entry hosts are ready; the configuration must have been accepted before. */
    void awaitReady() throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        for (Machine machine : machines.values()) {
            while (!machine.isControl && !machine.isReady()) {
                if (System.nanoTime() > until) throw new CannotRun(machine.name + " is not ready");
                Thread.sleep(50);
            }
        }
        note("ready", "all entry hosts");
    }

    private List<String> commandOf(String role) throws IOException {
        boolean isRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) isRole = line.trim().equals("[roles." + role + "]");
            if (isRole && line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no command for role " + role);
    }

    private String settingsOf(Machine machine, boolean isFirstStart) {
        String seeds = "";
        for (int i = 1; i <= 3; i++) seeds += "  - \"" + net + i + ":" + operatorPort + "\"\n";
        String listen = machine.isControl
            ? "  control: \"" + machine.ip + ":" + operatorPort + "\"\n"
            : "  frontend: \"" + machine.ip + ":" + callerPort + "\"\n" +
                "  ready: \"" + machine.ip + ":" + readyPort + "\"\n";
        return "nodeName: \"" + machine.name + "\"\n" +
            "role: \"" + (machine.isControl ? "control" : "entry") + "\"\n" +
            "machineClass: \"" + (machine.isControl ? "core" : "edge") + "\"\n" +
            "serves:\n  - \"" + (machine.isControl ? "control" : "edge") + "\"\n" +
            "ip: \"" + machine.ip + "\"\n" +
            "zone: \"pelmadulla\"\nregion: \"sabaragamuwa\"\n" +
            "zones:\n  pelmadulla: \"sabaragamuwa\"\n" +
            "listen:\n" + listen +
            "portRange:\n  - " + peerPort + "\n  - " + (peerPort + 15) + "\n" +
            "seeds:\n" + seeds +
            "bootstrap: " + isFirstStart + "\n" +
            "inTolerance: " + machine.isControl + "\n" +
            "limits:\n  cpuShare: 0.75\n  cores: 1\n  memoryMb: 430\n  maxFds: 4100\n" +
            "  linkMbps: 1000.0\n  diskMb: " + (machine.isControl ? 128 : 0) + "\n" +
            "dataDir: " + (machine.isControl ? "\"" + machine.data + "\"" : "null") + "\n" +
            "discovery: \"cloud_api\"\nentry: \"vip\"\nheartbeatMs: 1200\n" +
            "faultTolerance:\n  machines: 1\n  zones: 1\n  regions: 0\n" +
            "bounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  contactMs: 3000\n  ackMs: 4000\n" +
            "  catchUpS: 4\n  drainMs: 3000\n  graceS: 8\n  lossSlackMs: 200\n" +
            "  configApplyMs: 2000\n  rollbackSlackMs: 250\n  maxSkewMs: 5000\n" +
            "  revokeStrict: true\n  revokeMs: 5000\n  retryBudgetRatio: 0.2\n" +
            "  budgetWindowS: 10\n  budgetSlack: 58\n  quotaWindowS: 8\n" +
            "  quotaOvershoot: 0.1\n  quotaSlack: 140000\n  recoveryS: 12\n" +
            "  passMs: 120\n  retryAfterS: 10\n" +
            "configMode: \"highest\"\n" +
            "cloud:\n  address: \"" + net + "250:" + listPort + "\"\n  ratePerS: 47.0\n" +
            "  duties: []\n  lagMs: 800\n";
    }

    // ---- the platform's list

    /** Lists a replica as ready. */
    void list(String id, String service, String address, int slots) {
        instances.put(id, "{\"service\":\"" + service + "\",\"address\":\"" + address +
            "\",\"zone\":\"pelmadulla\",\"version\":\"v1\",\"slots\":" + slots +
            ",\"state\":\"ready\",\"coldRemainingMs\":0,\"id\":\"" + id + "\"}");
    }

    private void serveList() throws IOException {
        while (true) {
            Socket socket = list.accept();
            daemon("list connection", () -> {
                try (socket) {
                    InputStream in = socket.getInputStream();
                    OutputStream out = socket.getOutputStream();
                    while (!Http.readHead(in).isEmpty()) {
                        String body = "{\"instances\":[" + String.join(",", instances.values()) +
                            "],\"next\":null}";
                        out.write(Http.answer("200 OK", "Content-Type: application/json\r\n", body));
                        out.flush();
                    }
                }
            });
        }
    }

    // ---- replicas

    /** Address for a stand-in replica with {@code number}. */
    String replicaIp(int number) {
        return net + (100 + number);
    }

    <T extends AutoCloseable> T own(T standIn) {
        standIns.add(standIn);
        return standIn;
    }

    // ---- the operator

    /** Returns a route of the configuration. */
    static String route(String name, String type, String service, int timeoutMs, int maxAttempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + name +
            "/\",\"type\":\"" + type + "\",\"timeoutMs\":" + timeoutMs +
            ",\"targetLatencyMs\":300,\"priority\":1,\"service\":\"" + service +
            "\",\"maxAttempts\":" + maxAttempts + ",\"public\":false,\"streamResume\":false," +
            "\"targetGapMs\":400}";
    }

    static String configuration(long version, List<String> routes, List<String> services) {
        List<String> described = new ArrayList<>();
        for (String service : services) {
            described.add("{\"name\":\"" + service + "\",\"healthPath\":\"/healthz\"," +
                "\"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false}");
        }
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) +
            "],\"services\":[" + String.join(",", described) + "],\"limits\":{" +
            "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000," +
            "\"idleTimeoutMs\":30000},\"tenants\":[{\"name\":\"" + TEAM + "\",\"apiKeys\":[\"" +
            KEY + "\"],\"priority\":1}]}";
    }

    /** Sends a configuration to one control host; returns the status, 0 without an answer. */
    int put(String machine, String configuration, int timeoutMs) {
        try {
            Http.Answer answer = new Http(machines.get(machine).ip, operatorPort, timeoutMs)
                .exchange("PUT", "/-/config", "control", "Content-Type: application/json\r\n",
                    configuration);
            return answer.status;
        } catch (IOException e) {
            return 0;
        }
    }

    /** Reads the configuration from one control host; {@code null} without an answer. */
    Http.Answer read(String machine, int timeoutMs) {
        try {
            return new Http(machines.get(machine).ip, operatorPort, timeoutMs)
                .exchange("GET", "/-/config", "control", "", "");
        } catch (IOException e) {
            return null;
        }
    }

    /** Waits until one control host leads for a second, by the metrics of the hosts; returns its name. */
    String awaitLeader() throws Exception {
        String last = "";
        double since = seconds();
        while (seconds() < 30) {
            String leader = "";
            for (Machine machine : machines.values()) {
                if (machine.isControl && machine.leads()) leader += machine.name;
            }
            if (!leader.equals(last)) since = seconds();
            last = leader;
            if (leader.length() == 2 && seconds() - since > 1) {
                note("leader", leader);
                return leader;
            }
            Thread.sleep(100);
        }
        throw new CannotRun("no leader");
    }

    /** Sends a configuration to any control host until it is acknowledged. */
    void accept(String configuration) throws Exception {
        for (int i = 0; i < 60; i++) {
            String to = "c" + (1 + i % 3);
            int status = put(to, configuration, 4_000);
            if (status == 200) {
                note("acknowledged", "configuration at " + to);
                return;
            }
            if (status >= 400 && status < 500) throw new CannotRun("refused with " + status);
            Thread.sleep(200);
        }
        throw new CannotRun("the first configuration was not accepted");
    }

    // ---- end

    interface Step {
        void run() throws Exception;
    }

    static Thread daemon(String name, Step step) {
        Thread thread = new Thread(() -> {
            try {
                step.run();
            } catch (Exception e) {
                // A stand-in ends with its connection or with the test.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void killAll() {
        for (Machine machine : machines.values()) {
            if (machine.process != null) machine.process.destroyForcibly();
        }
    }

    @Override
    public void close() throws Exception {
        killAll();
        for (Machine machine : machines.values()) {
            if (machine.process != null) machine.process.waitFor();
        }
        for (AutoCloseable standIn : standIns) standIn.close();
        list.close();
        if ("1".equals(System.getenv("KEEP"))) {
            System.err.println("logs: " + work);
        } else {
            try (var files = Files.walk(work)) {
                files.sorted(Comparator.reverseOrder()).forEach(it -> it.toFile().delete());
            }
        }
        record.close();
    }

    /** Thrown if a case could not be brought about. */
    static final class CannotRun extends Exception {
        CannotRun(String message) {
            super(message);
        }
    }

    interface Case {
        /** Plays the case and returns whether the rule held. */
        boolean play(Lab lab) throws Exception;
    }

    /** Runs a case and exits with 0 if the rule held, 1 if it was broken, 2 if it could not run. */
    static void main(String folder, Case played) {
        int status;
        try (Lab lab = new Lab(folder)) {
            try {
                boolean isKept = played.play(lab);
                lab.note("result", isKept ? "the rule held" : "THE RULE WAS BROKEN");
                status = isKept ? 0 : 1;
            } catch (Exception e) {
                lab.note("cannot run", e);
                status = 2;
            }
        } catch (Exception e) {
            System.err.println("cannot run: " + e);
            status = 2;
        }
        System.out.println(status == 0 ? "held" : status == 1 ? "broken" : "could not run");
        System.exit(status);
    }
}
