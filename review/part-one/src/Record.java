import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;

/** The file record.txt of a case: what was sent, answered and run, with seconds since the start. */
final class Record {
    private final long start = System.nanoTime();
    private final PrintWriter file;

    Record(Path path) throws IOException {
        file = new PrintWriter(path.toFile(), "UTF-8");
    }

    double now() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void line(String text) {
        file.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
        file.flush();
    }

    /** Writes a line and also shows it. */
    void say(String text) {
        line(text);
        System.out.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
    }
}
