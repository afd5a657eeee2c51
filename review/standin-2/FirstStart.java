import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The whole system starts for the first time. One of the three seeds loses its disk a moment after
 * it has started and comes back with an empty one. The others run on all the while.
 */
final class FirstStart {
    /** Time from the start of the machine to its loss. */
    private static final long LOST_AFTER_MS = Long.getLong("lostAfter", 500);

    /** Time for which the machine is away. */
    private static final long AWAY_MS = 2_000;

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Lab2 lab = new Lab2(Path.of(args[0], "record.txt"))) {
            status = run(lab, hasTrouble);
        } catch (IOException e) {
            System.err.println("the case could not run: " + e);
        }
        System.exit(status);
    }

    private static int run(Lab2 lab, boolean hasTrouble) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        List<String> replicas = List.of(lab.ip(31), lab.ip(32));
        lab.serveList(replicas);
        for (String ip : replicas) Lab2.listen(ip, lab.targetPort, s -> serve(s, ip, runs));
        List<String> seeds = List.of(lab.ip(11), lab.ip(12), lab.ip(13));
        List<Lab2.Host> controls = List.of(
            lab.new Host("control-a", "control", lab.ip(11), "a", seeds),
            lab.new Host("control-b", "control", lab.ip(12), "b", seeds),
            lab.new Host("control-c", "control", lab.ip(13), "c", seeds));
        List<Lab2.Host> entries = List.of(
            lab.new Host("entry-a", "entry", lab.ip(21), "a", seeds),
            lab.new Host("entry-b", "entry", lab.ip(22), "b", seeds));
        for (Lab2.Host host : controls) host.start(true);
        for (Lab2.Host host : entries) host.start(true);
        if (hasTrouble) {
            Lab2.Host lost = controls.get(2);
            Lab2.sleep(LOST_AFTER_MS);
            lost.kill();
            lost.eraseDisk();
            lab.note(lost.name + " killed, its disk erased");
            Lab2.sleep(AWAY_MS);
            lost.start(false);
        }
        // From here on all machines run and nothing disturbs them.
        long back = lab.now();
        String configuration = Lab2.configuration(7, Lab2.route("/check/", "idempotent", 2));
        long limit = back + Lab2.RECOVERY_MS + 2 * Lab2.CONTACT_MS + Lab2.ACK_MS + 20_000;
        boolean isAcknowledged = lab.putUntil(controls, configuration, limit);
        if (isAcknowledged) Lab2.sleep(Lab2.APPLY_MS + 1_000);
        int served = 0;
        for (int i = 0; i < 20; i++) {
            String id = lab.requestId();
            Lab2.Answer answer =
                lab.request(entries.get(i % 2), "GET", "/check/" + i, id, new byte[0], 1_000);
            lab.note("request " + id + " status " + answer.status() + " " + answer.cause());
            if (answer.status() == 200) served++;
            Lab2.sleep(100);
        }
        for (Lab2.Host host : controls) {
            lab.note(host.name + (host.process.isAlive() ? " still runs" : " has ended"));
        }
        lab.note("acknowledged " + isAcknowledged + ", served " + served + " of 20, run " + runs);
        boolean isRead = read(lab, controls);
        if (isAcknowledged && isRead && served >= 5) return 0;
        lab.note("BROKEN: no order of the operator is acknowledged, no configuration is read, "
            + served + " requests are served, " + (lab.now() - back) / 1000
            + " s after all machines are back");
        return 1;
    }

    /** Reads the configuration at the end, for at least {@code contactMs}, at all control hosts. */
    private static boolean read(Lab2 lab, List<Lab2.Host> controls) {
        long end = lab.now() + Lab2.CONTACT_MS + 1_000;
        for (int i = 0; i < controls.size() || lab.now() < end; i++) {
            Lab2.Host host = controls.get(i % controls.size());
            Lab2.Answer answer = Lab2.call(host.ip, lab.controlPort, "GET", "/-/config",
                Map.of("Host", host.ip), new byte[0], 1_000);
            lab.note("read at " + host.name + ": status " + answer.status() + " " + answer.cause());
            if (answer.status() == 200 && answer.text().startsWith("{\"version\":7,")) return true;
            Lab2.sleep(200);
        }
        return false;
    }

    private static void serve(java.net.Socket socket, String ip, AtomicInteger runs)
        throws IOException {
        InputStream input = socket.getInputStream();
        while (true) {
            List<String> head = Lab2.readHead(input);
            if (head == null) return;
            Map<String, String> fields = Lab2.fieldsOf(head);
            Lab2.readBody(input, fields);
            String id = fields.getOrDefault("x-request-id", "");
            if (!("i-" + ip).equals(fields.get("x-expect-instance"))) {
                Lab2.send(socket.getOutputStream(), 421, Map.of("X-Not-Executed", "1"), "");
                continue;
            }
            runs.incrementAndGet();
            Lab2.sleep(20);
            Lab2.send(socket.getOutputStream(), 200,
                Map.of("X-Request-Id", id, "X-Response-Signature", "s-" + id), "done");
        }
    }
}
