package stage;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with the time since its start in milliseconds. */
final class Record implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double millis() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    synchronized void line(String format, Object... parts) {
        out.println(String.format(Locale.ROOT, "%9.1f ", millis()) + String.format(Locale.ROOT, format, parts));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
