import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startMs = Vm.nowMs();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String line) {
        out.printf("%9.3f s  %s%n", (Vm.nowMs() - startMs) / 1_000.0, line);
        out.flush();
    }

    /** Time of [ms] since the start of the run, in seconds. */
    String at(long ms) {
        return String.format("%.3f s", (ms - startMs) / 1_000.0);
    }

    @Override
    public void close() {
        out.close();
    }
}
