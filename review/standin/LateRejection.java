import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Two replicas of a booking service are full for 4 s at a time, for one request in twelve: they
 * reject it and ask to come again after 0.2 s. One of them is faulty for 5 s at a time: it sends a
 * few of its answers a second time, late, where the next answer on that connection is expected.
 */
final class LateRejection {
    private static final int REQUESTS = 1_000;

    /** One request in twelve comes while both replicas are full. */
    private static final int FULL_EVERY = 12;

    /** Share of the answers of the faulty replica that come a second time. */
    private static final double EXTRA_SHARE = 0.03;

    private static final double FAULTY_SECONDS = 5;
    private static final double SOUND_SECONDS = 1;
    private static final double FULL_SECONDS = 4;

    /** Requests that one of the replicas has rejected. */
    private final Set<String> rejectedOnce = ConcurrentHashMap.newKeySet();

    private int answers;
    private int copies;

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> new LateRejection().play(lab));
    }

    private boolean play(Lab lab) throws Exception {
        lab.startSystem(1);
        Replica faulty = replica(lab, 1, lab.hasTrouble);
        Replica sound = replica(lab, 2, false);
        lab.accept(Lab.configuration(1, List.of(Lab.route("book", "non_idempotent", "desk", 1_000, 2)),
            List.of("desk")));
        lab.awaitReady();
        Thread.sleep(1_000);
        Lab.Machine entry = lab.machine("e1");
        Map<String, Integer> statuses = new TreeMap<>();
        try (Http client = new Http(entry.ip, entry.callerPort(), 5_000)) {
            for (int i = 0; i < REQUESTS; i++) {
                String id = String.format("r%04d", i);
                lab.note("send", id);
                Http.Answer answer = client.exchange("POST", "/book/order", Lab.HOST,
                    "X-Request-Id: " + id + "\r\nX-Request-Deadline: 1000\r\nAuthorization: Bearer " +
                        Lab.KEY + "\r\n", "one pallet");
                statuses.put(id, answer.status);
                lab.note("answer", id + " " + answer.status + " " + answer.body);
            }
        }
        Thread.sleep(500);
        int twice = 0;
        int refusedButRun = 0;
        for (Map.Entry<String, Integer> status : statuses.entrySet()) {
            String id = status.getKey();
            long runs = faulty.runs.stream().filter(id::equals).count() +
                sound.runs.stream().filter(id::equals).count();
            if (runs > 1) twice++;
            if (runs > 0 && (status.getValue() == 503 || status.getValue() == 429)) refusedButRun++;
        }
        lab.note("counts", "the faulty replica gave " + answers + " answers, " + copies +
            " of them a second time");
        lab.note("TWICE", twice + " requests ran more than once");
        lab.note("REFUSED", refusedButRun + " requests were refused and ran");
        return twice == 0 && refusedButRun == 0;
    }

    private Replica replica(Lab lab, int number, boolean isFaulty) throws Exception {
        Set<String> rejected = new HashSet<>();
        return new Replica(lab, number, "i-" + number, "desk", 6, (it, connection, head, body) -> {
            String id = Http.field(head, "X-Request-Id");
            double phase = lab.seconds() % (FAULTY_SECONDS + SOUND_SECONDS);
            boolean isInFaultyTime = phase < FAULTY_SECONDS;
            if (connection.memo != null && isInFaultyTime) {
                lab.note("second copy", "at " + it.id + " while " + id + " waits for its answer");
                connection.write((byte[]) connection.memo);
            }
            connection.memo = null;
            if (isFaulty && isInFaultyTime) answers++;
            boolean isFull =
                phase < FULL_SECONDS && Integer.parseInt(id.substring(1)) % FULL_EVERY == 0;
            if (isFull && rejected.add(id)) {
                byte[] rejection = Http.answer("503 Service Unavailable",
                    Replica.fieldsFor(head, false) + "X-Not-Executed: 1\r\nRetry-After: 0.2\r\n", "");
                lab.note("reject", id + " at " + it.id);
                connection.write(rejection);
                // The replica that rejects a request first is the first one whose rest ends.
                boolean isFirst = rejectedOnce.add(id);
                if (isFaulty && isFirst && isInFaultyTime && copies + 1 <= EXTRA_SHARE * answers) {
                    copies++;
                    connection.memo = rejection;
                }
                return;
            }
            it.ran(head);
            Thread.sleep(20);
            connection.write(
                Http.answer("200 OK", Replica.fieldsFor(head, true), "done " + id));
        });
    }
}
