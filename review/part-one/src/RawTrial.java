import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.*;

/** Trial: odd requests. */
final class RawTrial extends Case {
    RawTrial(Path folder) throws Exception { super(folder); }

    @Override
    int run() throws Exception {
        prepare();
        // raw replica
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(fleet.ip(33), fleet.replicaPort), 100);
        fleet.replicas.add(new Fleet.Replica("i-raw", "desk", fleet.ip(33), "zone-a"));
        List<String> got = Collections.synchronizedList(new ArrayList<>());
        Http.daemon("raw", () -> {
            while (true) {
                Socket s = server.accept();
                Http.daemon("rawc", () -> {
                    InputStream in = s.getInputStream();
                    byte[] b = new byte[65536];
                    while (true) {
                        int n = in.read(b);
                        if (n < 0) return;
                        String t = new String(b, 0, n, StandardCharsets.ISO_8859_1);
                        got.add(t);
                        String id = "";
                        for (String l : t.split("\r\n")) if (l.toLowerCase().startsWith("x-request-id:")) id = l.substring(13).trim();
                        s.getOutputStream().write(Http.response(200, "X-Request-Id: " + id + "\r\nX-Response-Signature: s\r\n", "ok"));
                    }
                });
            }
        });
        fleet.startList();
        for (Fleet.Host host : controls) host.start(true);
        for (Fleet.Host host : entries) host.start(true);
        if (!fleet.put(controls, bookings(7), 7, 25) || !awaitReady(15)) return NOT_RUN;
        String A = "Authorization: Bearer " + KEY + "\r\n";
        String H = "Host: " + HOST + "\r\n";
        String[] requests = {
            "POST /book/a\u00e9?x=\u00ff HTTP/1.1\r\n" + H + A + "X-Request-Id: r1\r\nContent-Length: 2\r\n\r\nhi",
            "POST /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r2\r\nX-Tenant: evil\r\nx-TENANT : e2\r\nContent-Length: 2\r\n\r\nhi",
            "POST /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r3\r\nX-Foo: a\rX-Tenant: evil\r\nContent-Length: 2\r\n\r\nhi",
            "POST /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r4\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\nhi\r\n0\r\n\r\n",
            "POST /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r5\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
            "POST /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r6\r\nTransfer-Encoding: \u000bchunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
            "POST /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r7\r\nTransfer_Encoding: chunked\r\nX_Tenant: evil\r\nContent-Length: 2\r\n\r\nhi",
            "POST /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r8\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
            "GET /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r9\r\nContent-Length: 35\r\n\r\nGET /book/b HTTP/1.1\r\nX-Request-Id:",
            "GET /book/a  HTTP/1.1\r\n" + H + A + "X-Request-Id: r10\r\n\r\n",
            "GET /book/a HTTP/1.0\r\n" + H + A + "X-Request-Id: r11\r\n\r\n",
            "GET /book/a HTTP/2.0\r\n" + H + A + "X-Request-Id: r12\r\n\r\n",
            "GET\t/book/a\tHTTP/1.1\r\n" + H + A + "X-Request-Id: r13\r\n\r\n",
            "get /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r14\r\n\r\n",
            "PURGE /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r15\r\n\r\n",
            "CONNECT /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r16\r\n\r\n",
            "GET http://" + HOST + "/book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r17\r\n\r\n",
            "GET /book/../admin HTTP/1.1\r\n" + H + A + "X-Request-Id: r18\r\n\r\n",
            "GET /book/a#f HTTP/1.1\r\n" + H + A + "X-Request-Id: r19\r\n\r\n",
            "GET /book/a HTTP/1.1\r\n" + H + H + A + "X-Request-Id: r20\r\n\r\n",
            "GET /book/a HTTP/1.1\r\n" + H + A + A + "X-Request-Id: r21\r\nX-Request-Id: r21b\r\n\r\n",
            "GET /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r22\r\nConnection: close, X-Model\r\nX-Model: m\r\n\r\n",
            "GET /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r23\r\nX-Empty:\r\nX-Sp:   a  b  \r\nCookie: a=b\r\n\r\n",
            "GET /book/a HTTP/1.1\n" + "Host: " + HOST + "\n" + "Authorization: Bearer " + KEY + "\nX-Request-Id: r24\n\n",
            "GET /book/a HTTP/1.1\r\n" + H + "authorization: bearer " + KEY + "\r\nX-Request-Id: r25\r\n\r\n",
            "GET /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r26\r\nUpgrade: h2c\r\nHTTP2-Settings: AAA\r\nConnection: Upgrade, HTTP2-Settings\r\n\r\n",
            "GET /book/\u0000a HTTP/1.1\r\n" + H + A + "X-Request-Id: r27\r\n\r\n",
            "GET /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r28\r\nX-Nul: a\u0000b\r\n\r\n",
            "GET /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r29\r\nX-Latin: caf\u00e9\r\n\r\n",
            "POST /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r30\r\nTransfer-Encoding: chunked\r\n\r\n2;x=\"\r\n\"\r\nhi\r\n0\r\nX-Tenant: evil\r\n\r\n",
            "POST /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r31\r\nTransfer-Encoding: Chunked\r\n\r\n-0\r\n\r\n",
            "POST /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r32\r\nX-Request-Deadline: -5\r\nContent-Length: 0\r\n\r\n",
            "POST /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r33\r\nX-Request-Deadline: 1e309\r\nContent-Length: 0\r\n\r\n",
            "POST /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r34\r\n X-Fold: x\r\nContent-Length: 0\r\n\r\n",
            "HEAD /book/a HTTP/1.1\r\n" + H + A + "X-Request-Id: r35\r\n\r\n",
            "OPTIONS * HTTP/1.1\r\n" + H + A + "X-Request-Id: r36\r\n\r\n",
        };
        for (String r : requests) {
            got.clear();
            String answer;
            try (Socket s = new Socket(entries.get(0).ip, fleet.frontendPort)) {
                s.setSoTimeout(2500);
                s.getOutputStream().write(r.getBytes(StandardCharsets.ISO_8859_1));
                byte[] b = new byte[4096];
                int n = s.getInputStream().read(b);
                answer = n < 0 ? "closed" : new String(b, 0, n, StandardCharsets.ISO_8859_1).split("\r\n")[0];
            } catch (IOException e) { answer = e.getMessage(); }
            System.out.println("> " + r.replace("\r", "\\r").replace("\n", "\\n").replace(A.replace("\r\n","\\r\\n"), "A;"));
            System.out.println("  = " + answer);
            for (String g : got) System.out.println("  < " + g.replace("\r", "\\r").replace("\n", "\\n").replaceAll("X-Expect.*", ""));
        }
        return HELD;
    }
}
