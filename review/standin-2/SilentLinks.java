import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The open connections from the control hosts to the entry hosts fall silent for good, while new ones
 * work, just before the configuration changes.
 */
final class SilentLinks {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    /** The count of big_config on ratna-flow-large. */
    private static final int MORE_ROUTES = 1_640;

    /** The span and the pause of config_storm on ratna-flow. */
    private static final int STORM_MS = 4_000;
    private static final int STORM_GAP_MS = 330;

    /** The bounds configApplyMs and contactMs together, and 3 s more. */
    private static final double SETTLED_S = 8;

    /** Time for which requests are judged. */
    private static final double JUDGED_S = 22;

    /** Requests by a former configuration that are put up with, as those that are under way. */
    private static final int SLACK = 10;

    private static final String HOST = "orders.example";
    private static final String PATH = "/status/one";

    private record Run(double at, String service) {}

    private final SmallFleet.Record record;
    private final SmallFleet fleet;
    private final List<SmallFleet.Host> controls = new ArrayList<>();
    private final List<SmallFleet.Host> entries = new ArrayList<>();
    private final List<SilencingProxy> toEntries = new ArrayList<>();
    private final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    private final AtomicLong ids = new AtomicLong();

    private SilentLinks(Path folder) throws IOException {
        record = new SmallFleet.Record(folder.resolve("record.txt"));
        fleet = new SmallFleet(record);
    }

    public static void main(String[] args) {
        int code = NOT_RUN;
        try {
            SilentLinks played = new SilentLinks(Files.createDirectories(Path.of(args[0])));
            code = played.run(!"0".equals(System.getenv("TROUBLE")));
            played.record.say(code == HELD ? "the rule held" : code == BROKEN
                ? "the rule was broken" : "the case could not run");
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private int run(boolean trouble) throws Exception {
        start();
        if (!fleet.put(controls, configuration(7, "desk", 0), 7, 25) || !awaitReady(15)) return NOT_RUN;
        for (SmallFleet.Host entry : entries) {
            SmallFleet.Http.daemon("client of " + entry.name, () -> {
                while (true) {
                    send(entry);
                    Thread.sleep(150);
                }
            });
        }
        if (!fleet.put(controls, configuration(9, "desk", MORE_ROUTES), 9, 10)) return NOT_RUN;
        Thread.sleep(5_000);
        if (trouble) {
            for (SilencingProxy proxy : toEntries) proxy.silence();
            record.say("the open connections from control hosts to entry hosts fall silent");
        }
        long version = 10;
        double end = record.now() + STORM_MS / 1e3;
        while (record.now() < end) {
            long next = version++;
            SmallFleet.Http.daemon("operator",
                () -> fleet.put(controls, configuration(next, "desk", MORE_ROUTES), next, 10));
            Thread.sleep(STORM_GAP_MS);
        }
        version += 10;
        if (!fleet.put(controls, configuration(version, "board", MORE_ROUTES), version, 15)) return NOT_RUN;
        double from = record.now() + SETTLED_S;
        Thread.sleep((long) ((SETTLED_S + JUDGED_S) * 1e3));
        long former = runs.stream().filter(it -> it.at > from && it.service.equals("desk")).count();
        long current = runs.stream().filter(it -> it.at > from && it.service.equals("board")).count();
        record.say("later than " + SETTLED_S + " s after the acknowledgement of " + version
            + " the former service ran " + former + " requests, the new one " + current);
        if (former + current < 100) return NOT_RUN;
        return former > SLACK ? BROKEN : HELD;
    }

    private void start() throws IOException {
        List<String> zones = List.of("zone-a", "zone-b", "zone-c");
        List<String> seeds = List.of(fleet.ip(11), fleet.ip(12), fleet.ip(13));
        // Entry hosts use another port than control hosts for the connections between hosts; each
        // connection in either direction then leads through a proxy at the same address.
        int entryPort = fleet.peerPort + 20;
        for (int i = 0; i < 3; i++) {
            controls.add(fleet.new Host(
                "control-" + "abc".charAt(i), seeds.get(i), true, zones.get(i), seeds));
            new SilencingProxy(seeds.get(i), entryPort, fleet.peerPort);
        }
        for (int i = 0; i < 2; i++) {
            SmallFleet.Host entry = fleet.new Host(
                "entry-" + (i + 1), fleet.ip(21 + i), false, zones.get(i), seeds);
            entry.ownPeerPort = entryPort;
            entries.add(entry);
            toEntries.add(new SilencingProxy(entry.ip, fleet.peerPort, entryPort));
        }
        for (int i = 0; i < 2; i++) {
            fleet.startReplica(new SmallFleet.Replica(
                "i-desk" + (i + 1), "desk", fleet.ip(31 + i), zones.get(i)), this::onRun);
            fleet.startReplica(new SmallFleet.Replica(
                "i-board" + (i + 1), "board", fleet.ip(33 + i), zones.get(i)), this::onRun);
        }
        fleet.startList();
        for (SmallFleet.Host host : controls) host.start(true);
        for (SmallFleet.Host host : entries) host.start(true);
    }

    private void onRun(SmallFleet.Replica replica, SmallFleet.Http.Message request) {
        if (request.path().equals(PATH)) runs.add(new Run(record.now(), replica.service()));
    }

    /** A configuration whose public route leads to {@code service}, with {@code more} other routes. */
    private static String configuration(long version, String service, int more) {
        List<String> routes = new ArrayList<>();
        routes.add(route("status", "/status/", service, true));
        for (int i = 0; i < more; i++) {
            routes.add(route("more-" + i, "/more-" + i + "/", "desk", false));
        }
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
            + "],\"services\":[" + service("desk") + "," + service("board")
            + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"studio\",\"apiKeys\":[\"k4w1n8r2t6y3u5p9\"],"
            + "\"priority\":1,\"unit\":\"requests\",\"plainTokens\":1,\"ratePerS\":0,"
            + "\"burst\":0}]}";
    }

    private static String route(String name, String prefix, String service, boolean isPublic) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + prefix
            + "\",\"type\":\"idempotent\",\"timeoutMs\":1000,\"targetLatencyMs\":200,"
            + "\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":1,\"public\":"
            + isPublic + ",\"sessionAffinity\":false,\"streamResume\":false,\"targetGapMs\":0}";
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/healthz\",\"maxConnections\":96,"
            + "\"protocol\":\"h1\",\"tls\":false}";
    }

    private void send(SmallFleet.Host entry) {
        String id = "q" + Long.toHexString(0x5eed0000L + ids.incrementAndGet());
        String end;
        try {
            SmallFleet.Http.Message answer = SmallFleet.Http.call(entry.ip, fleet.frontendPort,
                "POST", PATH, Map.of("Host", HOST, "X-Request-Id", id,
                    "X-Request-Deadline", "1500"), "status " + id, 2_500);
            end = "" + answer.status();
        } catch (IOException e) {
            end = e.getMessage();
        }
        record.line("request " + id + " to " + entry.name + ": " + end);
    }

    private boolean awaitReady(double seconds) throws InterruptedException {
        double end = record.now() + seconds;
        while (record.now() < end) {
            boolean isReady = true;
            for (SmallFleet.Host entry : entries) {
                try {
                    isReady &= SmallFleet.Http.call(entry.ip, fleet.readyPort, "GET", "/-/readyz",
                        Map.of(), "", 1_000).status() == 200;
                } catch (IOException e) {
                    isReady = false;
                }
            }
            if (isReady) return true;
            Thread.sleep(200);
        }
        record.say("the entry hosts are not ready");
        return false;
    }
}
