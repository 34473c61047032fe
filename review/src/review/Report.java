package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Record of what was sent, answered and run, with the milliseconds since its start. */
final class Report implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Report(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    synchronized void line(String text) {
        out.println(String.format("%8d %s", (System.nanoTime() - startNanos) / 1_000_000, text));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
