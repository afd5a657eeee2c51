import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The open connections between hosts go silent while the configuration changes. */
final class SilenceCase extends Case {
    private static final int ROUTES = Integer.parseInt(
        System.getenv().getOrDefault("ROUTES", "411"));
    private static final int CHANGES = Integer.parseInt(
        System.getenv().getOrDefault("CHANGES", "25"));
    private static final int GAP_MS = Integer.parseInt(
        System.getenv().getOrDefault("GAP_MS", "80"));

    private record Run(double at, String service, String path) {}

    private final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();

    SilenceCase(Path folder) throws Exception {
        super(folder);
    }

    /** A configuration with many routes, whose public route leads to {@code service}. */
    private String large(long version, String service) {
        List<String> routes = new ArrayList<>();
        routes.add(route("booking", "/book/", "non_idempotent", "desk", false));
        routes.add(route("status", "/status/", "idempotent", service, true));
        for (int i = 0; i < ROUTES; i++) {
            routes.add(route("more-" + i, "/more-" + i + "/", "idempotent", "desk", false));
        }
        return configuration(version, routes, List.of(service("desk"), service("board")));
    }

    @Override
    int run() throws Exception {
        prepare();
        int entryPeerPort = fleet.peerPort + 20;
        List<Proxy> proxies = new ArrayList<>();
        for (Fleet.Host host : controls) {
            proxies.add(new Proxy(host.ip, entryPeerPort, fleet.peerPort));
        }
        for (Fleet.Host host : entries) {
            host.ownPeerPort = entryPeerPort;
            proxies.add(new Proxy(host.ip, fleet.peerPort, entryPeerPort));
        }
        Fleet.RunListener listener =
            (replica, request) -> runs.add(new Run(record.now(), replica.service(), request.path()));
        fleet.startReplica(
            new Fleet.Replica("i-board1", "board", fleet.ip(33), "zone-a"), listener);
        fleet.startReplica(new Fleet.Replica("i-desk3", "desk", fleet.ip(34), "zone-b"), listener);
        if (!begin()) return NOT_RUN;
        startClients("/status/one");
        if (!fleet.put(controls, large(9, "desk"), 9, 10)) return NOT_RUN;
        pause(5);
        if (trouble) {
            int count = 0;
            for (Proxy proxy : proxies) count += proxy.silence();
            record.say("the open connections between hosts go silent, of " + count + " opened");
        }
        long version = 9;
        for (int i = 0; i < CHANGES; i++) {
            version += 1;
            long next = version;
            Http.daemon("operator", () -> fleet.put(controls, large(next, "desk"), next, 10));
            Thread.sleep(GAP_MS);
        }
        version += 10;
        if (!fleet.put(controls, large(version, "board"), version, 15)) return NOT_RUN;
        double acknowledged = record.now();
        pause(30);
        // configApplyMs is 2,000 and contactMs 3,000; more than both has passed since.
        double from = acknowledged + 8;
        long old = runs.stream().filter(it -> it.at > from && it.path.equals("/status/one")
            && it.service.equals("desk")).count();
        long current = runs.stream().filter(it -> it.at > from && it.path.equals("/status/one")
            && it.service.equals("board")).count();
        int[] all = between(from, record.now());
        record.say("later than 8 s after the acknowledgement of " + version + ": " + all[0]
            + " requests, " + old + " run by the former service, " + current + " by the new one");
        if (all[0] < 40) return NOT_RUN;
        return old > 0 ? BROKEN : HELD;
    }
}
