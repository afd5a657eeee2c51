import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One of three replicas fails a part of the bookings with a 503 of its own, after it has begun to
 * work on them. Its answers don't have X-Not-Executed.
 */
final class BookingFailure {
    private static final int BOOKINGS = 120;
    private static final double FAILED_SHARE = 0.45;
    private static final int DEADLINE_MS = 1_000;

    private static final Set<String> run = ConcurrentHashMap.newKeySet();

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
        List<String> replicas = List.of(lab.ip(31), lab.ip(32), lab.ip(33));
        lab.serveList(replicas);
        for (String ip : replicas) {
            boolean isGrey = hasTrouble && ip.equals(replicas.get(0));
            Lab2.listen(ip, lab.targetPort, s -> serve(lab, s, ip, isGrey));
        }
        List<String> seeds = List.of(lab.ip(11), lab.ip(12), lab.ip(13));
        List<Lab2.Host> controls = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String zone = "abc".substring(i, i + 1);
            controls.add(lab.new Host("control-" + zone, "control", seeds.get(i), zone, seeds));
        }
        Lab2.Host entry = lab.new Host("entry-a", "entry", lab.ip(21), "a", seeds);
        for (Lab2.Host host : controls) host.start(true);
        entry.start(true);
        String configuration = Lab2.configuration(7, Lab2.route("/book/", "non_idempotent", 1));
        if (!lab.putUntil(controls, configuration, lab.now() + 20_000)) return 2;
        Lab2.sleep(5_000);
        int broken = 0;
        int served = 0;
        for (int i = 0; i < BOOKINGS; i++) {
            String id = lab.requestId();
            byte[] body = ("order " + i).getBytes();
            Lab2.Answer answer = lab.request(entry, "POST", "/book/" + i, id, body, DEADLINE_MS);
            boolean hasRun = run.contains(id);
            boolean isPromise = answer.status() == 503 || answer.status() == 429;
            lab.note("order " + i + ", request " + id + ": status " + answer.status()
                + (hasRun ? ", has run" : ", has not run"));
            if (answer.status() == 200) served++;
            if (isPromise && hasRun) broken++;
            Lab2.sleep(50);
        }
        lab.note(served + " of " + BOOKINGS + " served, " + broken
            + " that have run were answered 429 or 503");
        if (served < BOOKINGS / 3) return 2;
        if (broken == 0) return 0;
        lab.note("BROKEN: callers are told that " + broken + " bookings have not run, but they have");
        return 1;
    }

    private static void serve(Lab2 lab, Socket socket, String ip, boolean isGrey)
        throws IOException {
        InputStream input = socket.getInputStream();
        Random random = new Random();
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
            run.add(id);
            lab.note("replica " + ip + " runs " + id);
            Lab2.sleep(20);
            Map<String, String> own = Map.of("X-Request-Id", id, "X-Response-Signature", "s-" + id);
            if (isGrey && random.nextDouble() < FAILED_SHARE) {
                Lab2.send(socket.getOutputStream(), 503, own, "failed");
            } else {
                Lab2.send(socket.getOutputStream(), 200, own, "done");
            }
        }
    }
}
