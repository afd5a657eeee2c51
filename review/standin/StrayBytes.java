import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of two replicas of a booking service is faulty for 5 s at a time: after a few of its complete
 * answers it sends additional bytes, late, where the next answer on that connection is expected.
 * They have the form of an answer but name no request.
 */
final class StrayBytes {
    private static final int CLIENTS = 4;
    private static final int REQUESTS_PER_CLIENT = 200;

    /** Slots of a replica: all of both together are needed for the clients. */
    private static final int SLOTS = 2;

    private static final double EXTRA_SHARE = 0.03;
    private static final double FAULTY_SECONDS = 5;
    private static final double SOUND_SECONDS = 1;

    private static final byte[] STRAY =
        Http.answer("503 Service Unavailable", "Content-Type: text/plain\r\n", "");

    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger extras = new AtomicInteger();

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> new StrayBytes().play(lab));
    }

    private boolean play(Lab lab) throws Exception {
        lab.startSystem(1);
        Replica faulty = replica(lab, 1, lab.hasTrouble);
        Replica sound = replica(lab, 2, false);
        lab.accept(Lab.configuration(1, List.of(Lab.route("book", "non_idempotent", "desk", 1_000, 1)),
            List.of("desk")));
        lab.awaitReady();
        Thread.sleep(1_000);
        Lab.Machine entry = lab.machine("e1");
        Map<String, Integer> statuses = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Lab.daemon("client", () -> send(lab, entry, number, statuses)));
        }
        for (Thread client : clients) client.join(60_000);
        Thread.sleep(500);
        int refusedButRun = 0;
        for (Map.Entry<String, Integer> status : statuses.entrySet()) {
            boolean hasRun = faulty.runs.contains(status.getKey()) ||
                sound.runs.contains(status.getKey());
            if (hasRun && List.of(408, 421, 429, 503).contains(status.getValue())) refusedButRun++;
        }
        lab.note("counts", "the faulty replica gave " + answers + " answers, with " + extras +
            " additional ones");
        lab.note("REFUSED", refusedButRun + " requests were refused and ran");
        return refusedButRun == 0;
    }

    private static void send(
        Lab lab,
        Lab.Machine entry,
        int number,
        Map<String, Integer> statuses
    ) throws Exception {
        try (Http client = new Http(entry.ip, entry.callerPort(), 5_000)) {
            for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
                String id = String.format("r%d-%03d", number, i);
                lab.note("send", id);
                Http.Answer answer = client.exchange("POST", "/book/order", Lab.HOST,
                    "X-Request-Id: " + id + "\r\nX-Request-Deadline: 1000\r\nAuthorization: Bearer " +
                        Lab.KEY + "\r\n", "one pallet");
                statuses.put(id, answer.status);
                lab.note("answer", id + " " + answer.status + ", signature " +
                    answer.field("X-Response-Signature"));
            }
        }
    }

    private Replica replica(Lab lab, int number, boolean isFaulty) throws Exception {
        return new Replica(lab, number, "i-" + number, "desk", SLOTS, (it, connection, head, body) -> {
            boolean isInFaultyTime = isFaulty &&
                lab.seconds() % (FAULTY_SECONDS + SOUND_SECONDS) < FAULTY_SECONDS;
            if (isInFaultyTime) answers.incrementAndGet();
            if (isInFaultyTime && connection.requests > 1 &&
                extras.get() + 1 <= EXTRA_SHARE * answers.get()
            ) {
                extras.incrementAndGet();
                lab.note("additional bytes", "at " + it.id + " after an earlier answer");
                connection.write(STRAY);
            }
            it.ran(head);
            Thread.sleep(20);
            connection.write(Http.answer("200 OK", Replica.fieldsFor(head, true), "done"));
        });
    }
}
