import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The events of one play in the order in which they were seen, with the time since the start. Thread-safe. */
final class Record {
    private final long startedAt = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void add(String line) {
        String text = String.format(Locale.ROOT, "%8.3f %s", seconds(), line);
        lines.add(text);
        System.out.println(text);
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
