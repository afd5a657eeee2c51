import java.util.ArrayList;
import java.util.List;

/**
 * A control host is killed and comes back while a change that it has passed on to the leader is not
 * decided. The reply to that change reaches the new process, which waits for the reply to another one.
 */
final class ForeignReply {
    private static final List<String> NAMES = List.of("c1", "c2", "c3");

    /** Time for which one control host is down. */
    private static final int DOWN_MILLIS = 3_400;

    /** Pause of the operator before a call without a clear answer is sent again. */
    private static final int RESEND_MILLIS = 500;

    public static void main(String[] arguments) {
        Lab.main(arguments[0], ForeignReply::play);
    }

    private static boolean play(Lab lab) throws Exception {
        lab.startSystem(1);
        new Replica(lab, 1, "i-1", "desk", 6, (it, connection, head, body) -> {
            it.ran(head);
            connection.write(Http.answer("200 OK", Replica.fieldsFor(head, true), "done"));
        });
        String leader = lab.awaitLeader();
        // A planned restart moves the leadership, so that c3 is the host that is down.
        while (leader.equals("c3")) {
            lab.machine("c3").signal("TERM");
            lab.machine("c3").process.waitFor();
            lab.machine("c3").start(false);
            Thread.sleep(3_000);
            leader = lab.awaitLeader();
        }
        Lab.Machine leading = lab.machine(leader);
        Lab.Machine restarted = lab.machine(leader.equals("c1") ? "c2" : "c1");
        Lab.Machine down = lab.machine("c3");
        for (int i = 0; put(lab, leader, 1) != 200; i++) {
            if (i == 20) throw new Lab.CannotRun("the first configuration was not accepted");
            Thread.sleep(200);
        }
        lab.awaitReady();
        Thread.sleep(5_000);

        if (lab.hasTrouble) {
            down.kill();
            Lab.daemon("restart", () -> {
                Thread.sleep(DOWN_MILLIS);
                down.start(false);
            });
            Thread.sleep(400);
            leading.signal("STOP");
        }
        // Three changes are in progress at one host. A change without a clear answer is sent again.
        List<Thread> changes = new ArrayList<>();
        for (long version = 2; version <= 4; version++) {
            long sent = version;
            changes.add(Lab.daemon("operator", () -> {
                String machine = restarted.name;
                while (put(lab, machine, sent) != 200) {
                    Thread.sleep(RESEND_MILLIS);
                    machine = leading.name;
                }
            }));
            Thread.sleep(30);
        }
        if (lab.hasTrouble) {
            Thread.sleep(60);
            restarted.kill();
            leading.signal("CONT");
            Thread.sleep(500);
            restarted.start(false);
        }

        lab.note("send", "version 5 to " + restarted.name + ", until it is answered with 200");
        boolean isAcknowledged = false;
        for (int i = 0; i < 400 && !isAcknowledged; i++) {
            int status = lab.put(restarted.name, configuration(5), 4_000);
            isAcknowledged = status == 200;
            // Until the process listens, the connection is refused.
            if (status != 0) lab.note("answer", "to version 5 from " + restarted.name + ": " + status);
            Thread.sleep(25);
        }
        for (Thread change : changes) change.join(20_000);
        // More than recoveryS after all machines are back.
        Thread.sleep(DOWN_MILLIS + 13_000);
        long newest = 0;
        for (int i = 0; i < 12; i++) {
            long found = read(lab, NAMES.get(i % 3));
            newest = Math.max(newest, found);
            Thread.sleep(300);
        }
        lab.note("CONFIG", "version 5 was " + (isAcknowledged ? "" : "not ") +
            "acknowledged; the newest version that is read back is " + newest);
        if (newest == 0) throw new Lab.CannotRun("the configuration cannot be read back");
        return !isAcknowledged || newest >= 5;
    }

    private static String configuration(long version) {
        return Lab.configuration(version,
            List.of(Lab.route("book", "non_idempotent", "desk", 1_000, 1)), List.of("desk"));
    }

    private static int put(Lab lab, String machine, long version) {
        lab.note("send", "version " + version + " to " + machine);
        int status = lab.put(machine, configuration(version), 4_000);
        lab.note("answer", "to version " + version + " from " + machine + ": " +
            (status == 0 ? "none" : status));
        return status;
    }

    private static long read(Lab lab, String machine) {
        Http.Answer answer = lab.read(machine, 4_000);
        if (answer == null || answer.status != 200) {
            lab.note("read", machine + ": " + (answer == null ? "no answer" : answer.status));
            return 0;
        }
        String after = answer.body.substring(answer.body.indexOf("\"version\":") + 10);
        long version = Long.parseLong(after.split("[^0-9]")[0]);
        lab.note("read", machine + ": version " + version);
        return version;
    }
}
