import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An entry host is stopped with SIGTERM while requests wait for the only replica of a slow service.
 * The requests have far more time left than the stop takes.
 */
final class WaitingAtStop {
    private static final int WORK_MILLIS = 2_900;
    private static final int TIMEOUT_MILLIS = 12_000;
    private static final double GRACE_SECONDS = 8;
    private static final double LOSS_SLACK_SECONDS = 0.2;

    /** Times at which requests are sent, in milliseconds after the first one. */
    private static final int[] SENT_AT = {0, 200, 400, 600};

    /** Time of the SIGTERM, in milliseconds after the first request. */
    private static final int STOP_AT = 900;

    private record Outcome(double sentAt, double endedAt, int status) {
    }

    public static void main(String[] arguments) {
        Lab.main(arguments[0], WaitingAtStop::play);
    }

    private static boolean play(Lab lab) throws Exception {
        lab.startSystem(2);
        Map<String, Double> passedOnAt = new ConcurrentHashMap<>();
        new Replica(lab, 1, "i-1", "desk", 1, (it, connection, head, body) -> {
            String id = Http.field(head, "X-Request-Id");
            passedOnAt.put(id, lab.seconds());
            it.ran(head);
            Thread.sleep(WORK_MILLIS);
            connection.write(Http.answer("200 OK", Replica.fieldsFor(head, true), "done " + id));
        });
        lab.accept(Lab.configuration(1,
            List.of(Lab.route("book", "non_idempotent", "desk", TIMEOUT_MILLIS, 1)), List.of("desk")));
        lab.awaitReady();
        // Longer than contactMs, so that the starts are no disruption of what follows.
        Thread.sleep(5_000);

        Lab.Machine entry = lab.machine("e1");
        Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < SENT_AT.length; i++) {
            int delay = SENT_AT[i];
            String id = "r" + i;
            clients.add(Lab.daemon("client", () -> {
                Thread.sleep(delay);
                outcomes.put(id, request(lab, entry, id));
            }));
        }
        Thread.sleep(STOP_AT);
        double stoppedAt = lab.seconds();
        if (lab.hasTrouble) entry.signal("TERM");
        for (Thread client : clients) client.join(30_000);
        if (outcomes.size() < SENT_AT.length) throw new Lab.CannotRun("a client has no outcome");

        int lost = 0;
        for (Map.Entry<String, Outcome> each : outcomes.entrySet()) {
            Outcome outcome = each.getValue();
            if (outcome.status != 0) continue;
            double heldFor = outcome.endedAt - outcome.sentAt;
            boolean isOutOfTime = heldFor * 1_000 >= TIMEOUT_MILLIS;
            boolean isPassedOn = passedOnAt.containsKey(each.getKey());
            boolean isAtWorkInLastSixth = isPassedOn &&
                outcome.endedAt >= stoppedAt + GRACE_SECONDS * 5 / 6 &&
                outcome.sentAt <= stoppedAt + 3;
            boolean isPlanned = outcome.endedAt <= stoppedAt + GRACE_SECONDS + 1;
            boolean isLost = isPlanned && !isOutOfTime && !isAtWorkInLastSixth &&
                (isPassedOn || heldFor > LOSS_SLACK_SECONDS);
            lab.note("no answer", String.format("%s: held for %.2f s, %s, %s", each.getKey(), heldFor,
                isPassedOn ? "passed on to the replica" : "never passed on",
                isLost ? "LOST" : "excused"));
            if (isLost) lost++;
        }
        lab.note("LOST", lost + " requests");
        return lost == 0;
    }

    private static Outcome request(Lab lab, Lab.Machine entry, String id) {
        double sentAt = lab.seconds();
        int status = 0;
        try (Http client = new Http(entry.ip, entry.callerPort(), 30_000)) {
            lab.note("send", id);
            client.send("POST", "/book/order", Lab.HOST, "X-Request-Id: " + id +
                "\r\nX-Request-Deadline: " + TIMEOUT_MILLIS + "\r\nAuthorization: Bearer " + Lab.KEY +
                "\r\n", "one pallet".getBytes());
            sentAt = lab.seconds();
            Http.Answer answer = client.readAnswer();
            status = answer.status;
            lab.note("answer", id + " " + answer.status + " " + answer.body);
        } catch (IOException e) {
            lab.note("connection ends", id + ": " + e.getMessage());
        }
        return new Outcome(sentAt, lab.seconds(), status);
    }
}
