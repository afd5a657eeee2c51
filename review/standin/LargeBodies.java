import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients send bodies of 72 kB, far below the limit of the configuration, at a quarter of the rate
 * of the link. In a burst, 2.4 times as many do so at once. When the burst has been over for some
 * time, clients with kept connections send short requests.
 */
final class LargeBodies {
    private static final int BODY_BYTES = 72_000;

    /** Clients that send a body at the same time, without and with the burst. */
    private static final int USUAL_CLIENTS = 480;
    private static final int BURST_CLIENTS = 1_152;

    private static final int BODIES_PER_CLIENT = 2;
    private static final int PIECES = 50;

    /** Length of the burst; no body is begun that could not be sent within it. */
    private static final int BURST_MILLIS = 6_000;

    /** Time in which each client sends its body; the limit of the configuration is 3 s. */
    private static final int BODY_MILLIS = 2_500;

    private static final int SHORT_CLIENTS = 20;
    private static final int SHORT_REQUESTS = 5;
    private static final int TIMEOUT_MILLIS = 1_000;

    /** Longer than the 5 s of a choked link and contactMs of 3 s. */
    private static final int QUIET_MILLIS = 10_000;

    private static final AtomicLong LONGEST_SEND = new AtomicLong();
    private static final AtomicLong LAST_SENT = new AtomicLong();

    public static void main(String[] arguments) {
        Lab.main(arguments[0], LargeBodies::play);
    }

    private static boolean play(Lab lab) throws Exception {
        lab.startSystem(1);
        new Replica(lab, 1, "i-1", "desk", 500, (it, connection, head, body) -> {
            it.ran(head);
            Thread.sleep(20);
            connection.write(Http.answer("200 OK", Replica.fieldsFor(head, true), "done"));
        });
        lab.accept(Lab.configuration(1,
            List.of(Lab.route("plan", "non_idempotent", "desk", 12_000, 1),
                Lab.route("book", "non_idempotent", "desk", TIMEOUT_MILLIS, 1)), List.of("desk")));
        lab.awaitReady();
        Thread.sleep(1_000);
        Lab.Machine entry = lab.machine("e1");

        AtomicInteger before = new AtomicInteger();
        List<Http> kept = new ArrayList<>();
        for (int i = 0; i < SHORT_CLIENTS; i++) {
            Http client = new Http(entry.ip, entry.callerPort(), 60_000);
            kept.add(client);
            if (sendShort(lab, client, "before-" + i) == 200) before.incrementAndGet();
        }
        lab.note("before", before + " of " + SHORT_CLIENTS + " short requests answered with 200");
        if (before.get() < SHORT_CLIENTS) throw new Lab.CannotRun("the host does not serve");

        int uploading = lab.hasTrouble ? BURST_CLIENTS : USUAL_CLIENTS;
        lab.note("bodies", uploading + " clients send bodies of " + BODY_BYTES + " bytes");
        List<Thread> threads = new ArrayList<>();
        long begin = System.nanoTime();
        long lastStart = begin + (BURST_MILLIS - BODY_MILLIS - 200) * 1_000_000L;
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        for (int i = 0; i < uploading; i++) {
            int number = i;
            threads.add(Lab.daemon("body", () -> {
                for (int round = 0; round < BODIES_PER_CLIENT; round++) {
                    if (System.nanoTime() > lastStart) return;
                    sent.incrementAndGet();
                    if (upload(entry, "body-" + number + "-" + round)) answered.incrementAndGet();
                }
            }));
        }
        for (Thread thread : threads) thread.join(12_000);
        lab.note("bodies", answered + " of " + sent + " answered with 200");
        lab.note("bodies", "sent within " + (LAST_SENT.get() - begin) / 1_000_000 +
            " ms, each within " + LONGEST_SEND.get() + " ms");
        Thread.sleep(QUIET_MILLIS);

        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger stillUnanswered = new AtomicInteger();
        List<Thread> shorts = new ArrayList<>();
        for (int i = 0; i < SHORT_CLIENTS; i++) {
            int number = i;
            shorts.add(Lab.daemon("short", () -> {
                Http client = kept.get(number);
                for (int round = 0; round < SHORT_REQUESTS; round++) {
                    String id = "after-" + number + "-" + round;
                    long start = System.nanoTime();
                    int status;
                    try {
                        client.timeout(TIMEOUT_MILLIS + 2_000);
                        status = sendShort(lab, client, id);
                    } catch (IOException e) {
                        status = 0;
                        lab.note("no answer", id + ": " + e);
                    }
                    long millis = (System.nanoTime() - start) / 1_000_000;
                    if (millis > TIMEOUT_MILLIS) unanswered.incrementAndGet();
                    if (millis > TIMEOUT_MILLIS + 500) stillUnanswered.incrementAndGet();
                    if (status == 0) {
                        client.close();
                        client = new Http(entry.ip, entry.callerPort(), 3_000);
                    }
                }
            }));
        }
        for (Thread thread : shorts) thread.join(20_000);
        lab.note("process", entry.process.isAlive() ? "the process is alive" : "the process has ended");
        lab.note("ready", entry.isReady() ? "the host is ready" : "the host does not say that it is ready");
        lab.note("CONFIG", unanswered + " requests without an answer at the route's timeout, " +
            stillUnanswered + " of them without one half a second later");
        return !(unanswered.get() >= 8 && 2 * stillUnanswered.get() > unanswered.get());
    }

    private static String fields(String id, int deadline) {
        return "X-Request-Id: " + id + "\r\nX-Request-Deadline: " + deadline +
            "\r\nAuthorization: Bearer " + Lab.KEY + "\r\n";
    }

    private static int sendShort(Lab lab, Http client, String id) throws IOException {
        Http.Answer answer =
            client.exchange("POST", "/book/order", Lab.HOST, fields(id, TIMEOUT_MILLIS), "one pallet");
        lab.note("answer", id + " " + answer.status);
        return answer.status;
    }

    /** Sends one body; keeps the time that this took and the time of the last byte. */
    private static boolean upload(Lab.Machine entry, String id) throws Exception {
        long start = System.nanoTime();
        byte[] piece = new byte[BODY_BYTES / PIECES];
        try (Http client = new Http(entry.ip, entry.callerPort(), 4_000)) {
            String head = "POST /plan/upload HTTP/1.1\r\nHost: " + Lab.HOST + "\r\n" +
                fields(id, 12_000) + "Content-Length: " + PIECES * piece.length + "\r\n\r\n";
            client.out.write(head.getBytes());
            for (int i = 0; i < PIECES; i++) {
                client.out.write(piece);
                client.out.flush();
                if (i < PIECES - 1) Thread.sleep(BODY_MILLIS / PIECES);
            }
            long end = System.nanoTime();
            LONGEST_SEND.accumulateAndGet((end - start) / 1_000_000, Math::max);
            LAST_SENT.accumulateAndGet(end, Math::max);
            return client.readAnswer().status == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
