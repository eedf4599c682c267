package review.stand;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, by ms since the start of the case. Thread-safe. */
final class Log implements AutoCloseable {
    private final PrintWriter out;
    private final long begin = System.nanoTime();

    Log(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long now() {
        return (System.nanoTime() - begin) / 1_000_000;
    }

    synchronized void add(String text) {
        String line = String.format("%7d %s", now(), text);
        out.println(line);
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
