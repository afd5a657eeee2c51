import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Trial: many large bodies and large answers at once. */
final class BodiesTrial extends Case {
    BodiesTrial(Path folder) throws Exception {
        super(folder);
    }

    @Override
    int run() throws Exception {
        prepare();
        int answer = Integer.parseInt(System.getenv().getOrDefault("ANSWER", "2000000"));
        int delay = Integer.parseInt(System.getenv().getOrDefault("DELAY", "200"));
        String big = "x".repeat(answer);
        Fleet.Replica r = new Fleet.Replica("i-big", "desk", fleet.ip(33), "zone-a");
        fleet.replicas.add(r);
        Http.serve(r.ip(), fleet.replicaPort, request -> {
            String id = request.fields().get("x-request-id");
            if (request.path().equals("/healthz")) return Http.response(200, "X-Instance-Id: i-big\r\n", "");
            Thread.sleep(delay);
            return Http.response(200, "X-Request-Id: " + id + "\r\nX-Response-Signature: s." + id + "\r\n", big);
        });
        fleet.startList();
        for (Fleet.Host host : controls) host.start(true);
        for (Fleet.Host host : entries) host.start(true);
        if (!fleet.put(controls, bookings(7), 7, 25) || !awaitReady(15)) return NOT_RUN;
        String body = "y".repeat(4_190_000);
        AtomicInteger n = new AtomicInteger();
        java.util.concurrent.ConcurrentHashMap<String, Integer> ends = new java.util.concurrent.ConcurrentHashMap<>();
        for (int i = 0; i < 40; i++) {
            Http.daemon("c", () -> {
                while (true) {
                    String id = "b" + n.incrementAndGet();
                    String end;
                    try {
                        Http.Message m = Http.call(entries.get(0).ip, fleet.frontendPort, "POST", "/book/x",
                            Map.of("Host", HOST, "X-Request-Id", id, "X-Request-Deadline", "1500", "Authorization", "Bearer " + KEY), body, 5000);
                        end = "" + m.status();
                    } catch (Exception e) {
                        end = e.getMessage();
                    }
                    ends.merge(end, 1, Integer::sum);
                }
            });
        }
        for (int i = 0; i < 20; i++) {
            pause(1);
            if (!entries.get(0).process.isAlive()) {
                record.say("entry ended with " + entries.get(0).process.exitValue());
                break;
            }
        }
        record.say(ends.toString());
        return HELD;
    }
}
