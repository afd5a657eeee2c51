import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Forwards connections to a port; open ones can be made silent while new ones work. */
final class SilencingProxy {
    /** Size of the receive buffers: links have small windows. */
    private static final int WINDOW_BYTES = 64 * 1024;

    private final AtomicInteger generation = new AtomicInteger();
    private final AtomicInteger silent = new AtomicInteger();

    SilencingProxy(String ip, int port, int toPort) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.setReceiveBufferSize(WINDOW_BYTES);
        server.bind(new InetSocketAddress(ip, port), 512);
        SmallFleet.Http.daemon("proxy " + ip, () -> {
            while (true) {
                Socket near = server.accept();
                SmallFleet.Http.daemon("forward " + ip, () -> {
                    Socket far = new Socket();
                    try {
                        far.connect(new InetSocketAddress(ip, toPort), 1000);
                    } catch (IOException e) {
                        near.close();
                        return;
                    }
                    int own = generation.get();
                    SmallFleet.Http.daemon("pump", () -> pump(near, far, own));
                    SmallFleet.Http.daemon("pump", () -> pump(far, near, own));
                });
            }
        });
    }

    /** Makes all open connections silent for good, without a reset. */
    void silence() {
        silent.set(generation.incrementAndGet());
    }

    private void pump(Socket from, Socket to, int own) {
        byte[] buffer = new byte[16 * 1024];
        try {
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            while (true) {
                int count = input.read(buffer);
                // Whatever arrives on a silent connection, its end included, is lost.
                if (own < silent.get()) Thread.sleep(Long.MAX_VALUE);
                if (count < 0) break;
                output.write(buffer, 0, count);
            }
        } catch (IOException | InterruptedException e) {
            // The connection has ended on one side.
        }
        try {
            from.close();
            to.close();
        } catch (IOException e) {
            // It is closed then.
        }
    }
}
