import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;

/** A sound replica of a plain service. */
final class Replica2 {
    private static final long WORK_MS = 20;

    private Replica2() {
    }

    static void serve(Lab2 lab, Socket socket, String ip) throws IOException {
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
            lab.note("replica " + ip + " runs " + id);
            Lab2.sleep(WORK_MS);
            Lab2.send(socket.getOutputStream(), 200,
                Map.of("X-Request-Id", id, "X-Response-Signature", "s-" + id), "done");
        }
    }
}
