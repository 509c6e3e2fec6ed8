import java.io.FileWriter;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with seconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startMs = Store.now();

    Record(Path file) throws IOException {
        out = new PrintWriter(new FileWriter(file.toFile()), true);
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f ", (Store.now() - startMs) / 1_000.0) + text);
    }
}
