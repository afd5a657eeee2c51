import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 messages with a Content-Length, for the stand-ins and the clients of the cases. */
final class Http {
    private Http() {}

    /** A message; {@code start} is its first line, and names of fields are in lower case. */
    record Message(String start, Map<String, String> fields, byte[] body) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String method() {
            return start.split(" ")[0];
        }

        String path() {
            return start.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Handles one request and returns the whole response, or {@code null} to close. */
    interface Handler {
        byte[] handle(Message request) throws Exception;
    }

    /** Serves {@code handler} on an address until the process ends. */
    static void serve(String ip, int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(ip, port), 512);
        daemon("server " + ip, () -> {
            while (true) {
                Socket socket = server.accept();
                daemon("connection " + ip, () -> converse(socket, handler));
            }
        });
    }

    private static void converse(Socket socket, Handler handler) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Message request = read(input);
                if (request == null) return;
                byte[] response = handler.handle(request);
                if (response == null) return;
                socket.getOutputStream().write(response);
            }
        } catch (IOException e) {
            // The other side has closed the connection.
        }
    }

    /** Sends one request on a new connection; the limit is that of each read. */
    static Message call(
        String ip, int port, String method, String path, Map<String, String> fields, String body,
        int timeoutMs
    ) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            socket.connect(new InetSocketAddress(ip, port), 1000);
            OutputStream output = socket.getOutputStream();
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!fields.containsKey("Host")) head.append("Host: ").append(ip).append("\r\n");
            fields.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.UTF_8));
            all.write(bytes);
            output.write(all.toByteArray());
            Message answer = read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) throw new IOException("closed without an answer");
            return answer;
        }
    }

    /** Reads a message, or returns {@code null} at the end of the input. */
    static Message read(InputStream input) throws IOException {
        String start = line(input);
        if (start == null) return null;
        Map<String, String> fields = new LinkedHashMap<>();
        while (true) {
            String line = line(input);
            if (line == null) throw new IOException("ended within a head");
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT),
                line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
        byte[] body = input.readNBytes(length);
        if (body.length < length) throw new IOException("ended within a body");
        return new Message(start, fields, body);
    }

    private static String line(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) return null;
            if (next == '\n') return line.toString(StandardCharsets.UTF_8).replaceAll("\r$", "");
            line.write(next);
        }
    }

    static byte[] response(int status, String fields, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " " + (status == 200 ? "OK" : "Refused") + "\r\n"
            + fields + "Content-Length: " + bytes.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.getBytes(StandardCharsets.UTF_8));
        all.writeBytes(bytes);
        return all.toByteArray();
    }

    interface Step {
        void run() throws Exception;
    }

    static Thread daemon(String name, Step step) {
        Thread thread = new Thread(() -> {
            try {
                step.run();
            } catch (Exception e) {
                if (!(e instanceof IOException)) e.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
