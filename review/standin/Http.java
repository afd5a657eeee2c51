import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A plain HTTP/1.1 client with one kept connection. */
final class Http implements AutoCloseable {
    static final class Answer {
        final int status;
        final String head;
        final String body;

        Answer(int status, String head, String body) {
            this.status = status;
            this.head = head;
            this.body = body;
        }

        String field(String name) {
            return Http.field(head, name);
        }
    }

    private final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;

    Http(String ip, int port, int timeoutMs) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), Math.min(timeoutMs, 1_000));
        socket.setSoTimeout(timeoutMs);
        in = socket.getInputStream();
        out = socket.getOutputStream();
    }

    /** Limits the time without a byte of an answer. */
    void timeout(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    /** Sends a request and reads the whole answer. */
    Answer exchange(String method, String path, String host, String fields, String body)
        throws IOException {
        send(method, path, host, fields, body.getBytes(StandardCharsets.UTF_8));
        return readAnswer();
    }

    void send(String method, String path, String host, String fields, byte[] body)
        throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + fields +
            (body.length > 0 || method.equals("POST") || method.equals("PUT")
                ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    Answer readAnswer() throws IOException {
        String head = readHead(in);
        if (head.isEmpty()) throw new EOFException("closed without an answer");
        int status = Integer.parseInt(head.substring(9, 12));
        return new Answer(status, head, readBody(in, head));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Reads up to the end of a head; returns an empty text at the end of the input. */
    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (head.length() == 0) return "";
                throw new EOFException("closed within a head");
            }
            head.append((char) next);
            int length = head.length();
            if (length >= 4 && head.substring(length - 4).equals("\r\n\r\n")) return head.toString();
        }
    }

    static String readBody(InputStream in, String head) throws IOException {
        String length = field(head, "Content-Length");
        if (length != null) {
            byte[] bytes = in.readNBytes(Integer.parseInt(length));
            if (bytes.length < Integer.parseInt(length)) throw new EOFException("cut short");
            return new String(bytes, StandardCharsets.UTF_8);
        }
        if (!"chunked".equalsIgnoreCase(field(head, "Transfer-Encoding"))) return "";
        StringBuilder body = new StringBuilder();
        while (true) {
            int size = Integer.parseInt(readLine(in).trim(), 16);
            byte[] bytes = in.readNBytes(size);
            if (bytes.length < size) throw new EOFException("cut within a chunk");
            readLine(in);
            if (size == 0) return body.toString();
            body.append(new String(bytes, StandardCharsets.UTF_8));
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) throw new EOFException("closed within a line");
            if (next == '\n') return line.toString();
            line.append((char) next);
        }
    }

    static String field(String head, String name) {
        for (String line : head.split("\r\n")) {
            int colon = line.indexOf(':');
            if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                return line.substring(colon + 1).trim();
            }
        }
        return null;
    }

    static byte[] answer(String status, String fields, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return ("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + bytes.length +
            "\r\n\r\n" + body).getBytes(StandardCharsets.UTF_8);
    }
}
