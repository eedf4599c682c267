package org.chestnutbarrow.daemon;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.logging.LogSetup;

/**
 * Measures the line that is logged for each request, alone and with the handler that writes it to a file. Not a test: run
 * {@code java -cp ... org.chestnutbarrow.daemon.LogLineCost}.
 */
final class LogLineCost {
    private static final int LINES = 200_000;
    private static final int ROUNDS = 5;

    private LogLineCost() {}

    public static void main(String[] args) throws Exception {
        LogSetup.install();
        Path file = Files.createTempFile("chestnutbarrow", ".log");
        try {
            LogSetup.configure(System.Logger.Level.INFO, Optional.of(file));
            for (int round = 0; round < ROUNDS; round++) {
                System.out.println("line " + nanos(false) + " ns, with handler " + nanos(true) + " ns");
            }
            LogSetup.close();
        } finally {
            Files.delete(file);
        }
    }

    private static long nanos(boolean write) {
        long start = System.nanoTime();
        long length = 0;
        for (int i = 0; i < LINES; i++) {
            String line = Events.line(
                    "request-routed",
                    "request",
                    "1764842400000-" + i,
                    "class",
                    "fitting-check",
                    "outcome",
                    "ran",
                    "worker",
                    "w-17",
                    "zone",
                    "eger",
                    "reason",
                    "cheaper-of-two",
                    "status",
                    200,
                    "micros",
                    20_431 + i);
            length += line.length();
            if (write) {
                Events.write("request-routed", line);
            }
        }
        long nanos = (System.nanoTime() - start) / LINES;
        return length > 0 ? nanos : 0;
    }
}
