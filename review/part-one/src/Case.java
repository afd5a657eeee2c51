import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** What the cases share: a small deployment, its first configuration and its clients. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final Record record;
    final Fleet fleet;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Fleet.Host> controls = new ArrayList<>();
    final List<Fleet.Host> entries = new ArrayList<>();

    Case(Path folder) throws IOException {
        record = new Record(folder.resolve("record.txt"));
        fleet = new Fleet(record);
    }

    /** Runs the case and returns the exit code. */
    abstract int run() throws Exception;

    List<String> ips(List<Fleet.Host> hosts) {
        return hosts.stream().map(it -> it.ip).toList();
    }

    /** Prepares three control hosts, which are the seeds of all hosts, and two entry hosts. */
    void prepare() throws IOException {
        List<String> zones = List.of("zone-a", "zone-b", "zone-c");
        List<String> seeds = List.of(fleet.ip(11), fleet.ip(12), fleet.ip(13));
        for (int i = 0; i < 3; i++) {
            controls.add(fleet.new Host(
                "control-" + "abc".charAt(i), seeds.get(i), true, zones.get(i), seeds));
        }
        for (int i = 0; i < 2; i++) {
            entries.add(fleet.new Host(
                "entry-" + (i + 1), fleet.ip(21 + i), false, zones.get(i), seeds));
        }
    }

    /** The first host that says it leads, as an operator sees it, or {@code null}. */
    Fleet.Host leader() throws InterruptedException {
        for (int i = 0; i < 40; i++) {
            for (Fleet.Host host : controls) {
                if (host.process != null && host.process.isAlive()
                    && fleet.gauge(host, "primroseflow_control_leader") == 1) return host;
            }
            Thread.sleep(250);
        }
        return null;
    }

    /** Waits until a control host shows a gauge with a value. */
    boolean await(Fleet.Host host, String gauge, double value, double seconds)
        throws InterruptedException {
        double end = record.now() + seconds;
        while (record.now() < end) {
            if (fleet.gauge(host, gauge) == value) return true;
            Thread.sleep(200);
        }
        return false;
    }

    void pause(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * 1000));
    }

    static final String HOST = "orders.example";
    static final String KEY = "k4w1n8r2t6y3u5p9";

    String route(String name, String prefix, String type, String service, boolean isPublic) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + prefix
            + "\",\"type\":\"" + type + "\",\"timeoutMs\":1000,\"targetLatencyMs\":200,"
            + "\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":1,\"public\":"
            + isPublic + ",\"sessionAffinity\":false,\"streamResume\":false,\"targetGapMs\":0}";
    }

    String service(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/healthz\",\"maxConnections\":96,"
            + "\"protocol\":\"h1\",\"tls\":false}";
    }

    String configuration(long version, List<String> routes, List<String> services) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
            + "],\"services\":[" + String.join(",", services)
            + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"studio\",\"apiKeys\":[\"" + KEY
            + "\"],\"priority\":1,\"unit\":\"requests\",\"plainTokens\":1,\"ratePerS\":0,"
            + "\"burst\":0}]}";
    }

    /** A configuration with one route for bookings. */
    String bookings(long version) {
        return configuration(version,
            List.of(route("booking", "/book/", "non_idempotent", "desk", false)),
            List.of(service("desk")));
    }

    final AtomicLong ids = new AtomicLong();

    /** Counts of requests and of those that were served, by whole second of their sending. */
    final Map<Integer, int[]> bySecond = new HashMap<>();

    private synchronized void count(double at, boolean served) {
        int[] counts = bySecond.computeIfAbsent((int) at, key -> new int[2]);
        counts[0]++;
        if (served) counts[1]++;
    }

    /** Returns how many requests were sent from one time until another, and how many served. */
    synchronized int[] between(double from, double until) {
        int[] sum = new int[2];
        bySecond.forEach((second, counts) -> {
            if (second < Math.ceil(from) || second + 1 > until) return;
            sum[0] += counts[0];
            sum[1] += counts[1];
        });
        return sum;
    }

    final AtomicInteger running = new AtomicInteger();

    /** Sends a request to an entry host about each 150 ms until the process ends. */
    void startClients(String path) {
        for (Fleet.Host entry : entries) {
            Http.daemon("client of " + entry.name, () -> {
                while (true) {
                    send(entry, path);
                    Thread.sleep(150);
                }
            });
        }
    }

    /** Sends one request and returns its status, or 0 without an answer. */
    int send(Fleet.Host entry, String path) {
        String id = "q" + Long.toHexString(0x5eed0000L + ids.incrementAndGet());
        double at = record.now();
        int status = 0;
        String end;
        try {
            Http.Message answer = Http.call(entry.ip, fleet.frontendPort, "POST", path,
                Map.of("Host", HOST, "X-Request-Id", id, "X-Request-Deadline", "1500",
                    "Authorization", "Bearer " + KEY),
                "order " + id, 2500);
            status = answer.status();
            end = "" + status + (status == 200 ? "" : " " + answer.text());
        } catch (IOException e) {
            end = e.getMessage();
        }
        count(at, status == 200);
        record.line("request " + id + " to " + entry.name + ": " + end);
        return status;
    }

    /** Starts the hosts and puts the first configuration in force. */
    boolean begin() throws Exception {
        fleet.startReplica(new Fleet.Replica("i-desk1", "desk", fleet.ip(31), "zone-a"),
            (replica, request) -> {});
        fleet.startReplica(new Fleet.Replica("i-desk2", "desk", fleet.ip(32), "zone-b"),
            (replica, request) -> {});
        fleet.startList();
        for (Fleet.Host host : controls) host.start(true);
        for (Fleet.Host host : entries) host.start(true);
        return fleet.put(controls, bookings(7), 7, 25) && awaitReady(15);
    }

    /** Waits until all entry hosts say that they are ready. */
    boolean awaitReady(double seconds) throws InterruptedException {
        double end = record.now() + seconds;
        while (record.now() < end) {
            boolean ready = true;
            for (Fleet.Host entry : entries) {
                try {
                    ready &= Http.call(entry.ip, fleet.readyPort, "GET", "/-/readyz", Map.of(), "",
                        1000).status() == 200;
                } catch (IOException e) {
                    ready = false;
                }
            }
            if (ready) return true;
            Thread.sleep(200);
        }
        record.say("the entry hosts are not ready");
        return false;
    }

    /**
     * Reads the configuration at all control hosts for some seconds, as the operator does at the end
     * of a day, and returns the highest version that was read in the second half of the time.
     */
    long readBack(double seconds) throws InterruptedException {
        double begin = record.now();
        long last = -1;
        while (record.now() < begin + seconds) {
            for (Fleet.Host host : controls) {
                if (host.process == null || !host.process.isAlive()) continue;
                long version = fleet.read(host);
                if (record.now() > begin + seconds / 2) last = Math.max(last, version);
            }
            Thread.sleep(400);
        }
        record.say("read back at the end: " + (last < 0 ? "nothing" : "version " + last));
        return last;
    }

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[1]);
        int code;
        try {
            Case played = switch (args[0]) {
                case "replacement" -> new ReplacementCase(folder);
                case "seeds" -> new SeedsCase(folder);
                case "first-start" -> new FirstStartCase(folder);
                default -> throw new IllegalArgumentException(args[0]);
            };
            code = played.run();
            played.record.say(code == HELD ? "the rule held" : code == BROKEN
                ? "the rule was broken" : "the case could not run");
        } catch (Exception e) {
            e.printStackTrace();
            code = NOT_RUN;
        }
        System.exit(code);
    }
}
