import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the time since the start in milliseconds. */
final class Record {
    private static final long START_NS = System.nanoTime();
    private static PrintWriter out;

    static void open(Path file) {
        try {
            out = new PrintWriter(file.toFile(), "UTF-8");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Time since the start of the test, in milliseconds. */
    static long ms() {
        return (System.nanoTime() - START_NS) / 1_000_000;
    }

    static synchronized void line(String format, Object... values) {
        String text = String.format("%7d  ", ms()) + String.format(format, values);
        out.println(text);
        out.flush();
    }
}
