import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Collections;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A stand-in replica that serves one request at a time on each connection. */
final class Replica implements AutoCloseable {
    /** One connection of a caller. */
    final class Connection {
        final Socket socket;
        final OutputStream out;
        int requests = 0;
        Object memo;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            out = socket.getOutputStream();
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }
    }

    /** Answers one request that was read completely. */
    interface Behaviour {
        void answer(Replica replica, Connection connection, String head, String body) throws Exception;
    }

    final String id;
    final String address;
    final List<String> runs = Collections.synchronizedList(new ArrayList<>());
    volatile int maxConnections = Integer.MAX_VALUE;
    private final Lab lab;
    private final ServerSocket server = new ServerSocket();
    private final Set<Socket> sockets = Collections.synchronizedSet(new HashSet<>());
    private final Behaviour behaviour;

    Replica(Lab lab, int number, String id, String service, int slots, Behaviour behaviour)
        throws IOException {
        this.lab = lab;
        this.id = id;
        this.behaviour = behaviour;
        server.bind(new InetSocketAddress(lab.replicaIp(number), 0), 512);
        address = lab.replicaIp(number) + ":" + server.getLocalPort();
        lab.own(this);
        lab.list(id, service, address, slots);
        Lab.daemon(id, this::accept);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            if (sockets.size() >= maxConnections) {
                socket.setSoLinger(true, 0);
                socket.close();
                continue;
            }
            sockets.add(socket);
            Lab.daemon(id + " connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            Connection connection = new Connection(socket);
            InputStream in = socket.getInputStream();
            while (true) {
                String head = Http.readHead(in);
                if (head.isEmpty()) return;
                String body = Http.readBody(in, head);
                connection.requests++;
                String expected = Http.field(head, "X-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    connection.write(Http.answer("421 Misdirected Request",
                        "X-Request-Id: " + Http.field(head, "X-Request-Id") + "\r\n", ""));
                    continue;
                }
                behaviour.answer(this, connection, head, body);
            }
        } finally {
            sockets.remove(socket);
        }
    }

    /** Records that a request has run. */
    void ran(String head) {
        String request = Http.field(head, "X-Request-Id");
        runs.add(request);
        lab.note("run", request + " at " + id);
    }

    /** Returns the head fields of an answer to the request with {@code head}. */
    static String fieldsFor(String head, boolean isSigned) {
        return "X-Request-Id: " + Http.field(head, "X-Request-Id") + "\r\n" +
            (isSigned ? "X-Response-Signature: 3e1b.07." +
                Integer.toHexString(Http.field(head, "X-Request-Id").hashCode()) + "\r\n" : "");
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : new ArrayList<>(sockets)) socket.close();
    }
}
