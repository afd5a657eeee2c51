import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Five of nine replicas are faulty for 5 s at a time: instead of one answer in twenty they send bytes
 * that are no answer, without end, until the caller closes. Long after they are sound again, clients
 * send short requests to the entry host.
 */
final class EndlessBytes {
    private static final int REPLICAS = 9;
    private static final int FAULTY_REPLICAS = 5;
    private static final int SLOTS = 6;

    /** Connections that a replica accepts from all callers together, as the configuration states. */
    private static final int MAX_CONNECTIONS = 370;

    private static final double SPOILED_SHARE = 0.05;
    private static final double FAULTY_SECONDS = 5;
    private static final double SOUND_SECONDS = 1;

    private static final int CLIENTS = 48;
    private static final int LOAD_MILLIS = 75_000;

    /** Longer than the 5 s of a choked link and contactMs of 3 s. */
    private static final int QUIET_MILLIS = 10_000;

    private static final int JUDGED_CLIENTS = 20;
    private static final int TIMEOUT_MILLIS = 1_000;

    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger spoiled = new AtomicInteger();
    private final AtomicBoolean isLoading = new AtomicBoolean(true);

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> new EndlessBytes().play(lab));
    }

    private boolean play(Lab lab) throws Exception {
        lab.startSystem(1);
        for (int i = 1; i <= REPLICAS; i++) {
            boolean isFaulty = lab.hasTrouble && i <= FAULTY_REPLICAS;
            Replica replica = new Replica(lab, i, "i-" + i, "desk", SLOTS,
                (it, connection, head, body) -> answer(lab, connection, head, isFaulty));
            replica.maxConnections = MAX_CONNECTIONS;
        }
        lab.accept(Lab.configuration(1,
            List.of(Lab.route("check", "idempotent", "desk", TIMEOUT_MILLIS, 2)), List.of("desk")));
        lab.awaitReady();
        Thread.sleep(1_000);
        Lab.Machine entry = lab.machine("e1");
        AtomicInteger served = new AtomicInteger();
        AtomicInteger closed = new AtomicInteger();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Lab.daemon("client", () -> load(entry, number, served, closed));
        }
        int before = -1;
        // Ends early when nothing is served any more.
        for (int waited = 0; waited < LOAD_MILLIS && served.get() > before; waited += 5_000) {
            before = served.get();
            Thread.sleep(5_000);
            lab.note("load", served + " answered with 200, " + closed + " connections closed, " +
                spoiled + " answers spoiled, " + descriptors(entry) + " descriptors");
        }
        isLoading.set(false);
        Thread.sleep(QUIET_MILLIS);
        lab.note("quiet", descriptors(entry) + " descriptors");

        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger stillUnanswered = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        List<Thread> judged = new ArrayList<>();
        for (int i = 0; i < JUDGED_CLIENTS; i++) {
            String id = "judged-" + i;
            judged.add(Lab.daemon("judged", () -> {
                long start = System.nanoTime();
                int status = 0;
                try (Http client = new Http(entry.ip, entry.callerPort(), TIMEOUT_MILLIS + 2_000)) {
                    status = check(client, id);
                    lab.note("answer", id + " " + status);
                } catch (IOException e) {
                    lab.note("no answer", id + ": " + e.getMessage());
                }
                long millis = (System.nanoTime() - start) / 1_000_000;
                if (millis > TIMEOUT_MILLIS) unanswered.incrementAndGet();
                if (millis > TIMEOUT_MILLIS + 500) stillUnanswered.incrementAndGet();
                if (status == 200) answered.incrementAndGet();
            }));
        }
        for (Thread thread : judged) thread.join(20_000);
        lab.note("process", entry.process.isAlive() ? "the process is alive" : "the process has ended");
        lab.note("ready", entry.isReady() ? "the host is ready" : "the host does not say that it is ready");
        lab.note("judged", answered + " of " + JUDGED_CLIENTS + " answered with 200");
        lab.note("CONFIG", unanswered + " requests without an answer at the route's timeout, " +
            stillUnanswered + " of them without one half a second later");
        return !(unanswered.get() >= 8 && 2 * stillUnanswered.get() > unanswered.get());
    }

    private void answer(Lab lab, Replica.Connection connection, String head, boolean isFaulty)
        throws IOException {
        boolean isFaultyNow = isFaulty && isLoading.get() &&
            lab.seconds() % (FAULTY_SECONDS + SOUND_SECONDS) < FAULTY_SECONDS;
        if (isFaultyNow) {
            int number = answers.incrementAndGet();
            if (spoiled.get() + 1 <= SPOILED_SHARE * number) {
                spoiled.incrementAndGet();
                byte[] bytes = new byte[16 * 1024];
                new Random(number).nextBytes(bytes);
                bytes[0] |= (byte) 0x80;
                while (true) connection.write(bytes);
            }
        }
        connection.write(Http.answer("200 OK", Replica.fieldsFor(head, true), "done"));
    }

    private void load(Lab.Machine entry, int number, AtomicInteger served, AtomicInteger closed)
        throws Exception {
        int count = 0;
        while (isLoading.get()) {
            try (Http client = new Http(entry.ip, entry.callerPort(), TIMEOUT_MILLIS + 500)) {
                while (isLoading.get()) {
                    if (check(client, "c" + number + "-" + count++) == 200) served.incrementAndGet();
                }
            } catch (IOException e) {
                closed.incrementAndGet();
                Thread.sleep(50);
            }
        }
    }

    private static int check(Http client, String id) throws IOException {
        return client.exchange("GET", "/check/stock", Lab.HOST, "X-Request-Id: " + id +
            "\r\nX-Request-Deadline: " + TIMEOUT_MILLIS + "\r\nAuthorization: Bearer " + Lab.KEY +
            "\r\n", "").status;
    }

    private static long descriptors(Lab.Machine machine) {
        try (var files = Files.list(Path.of("/proc/" + machine.process.pid() + "/fd"))) {
            return files.count();
        } catch (IOException e) {
            return -1;
        }
    }
}
