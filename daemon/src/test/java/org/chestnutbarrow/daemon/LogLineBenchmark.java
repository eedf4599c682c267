package org.chestnutbarrow.daemon;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.logging.LogSetup;

/**
 * Measures the cost of formatting the line logged for each request, alone and with writing it to a file. Not a test;
 * run {@code java -cp ... org.chestnutbarrow.daemon.LogLineBenchmark}.
 */
final class LogLineBenchmark {
    private static final int LINES = 200_000;
    private static final int ROUNDS = 5;

    private LogLineBenchmark() {}

    public static void main(String[] args) throws Exception {
        LogSetup.install();
        Path file = Files.createTempFile("chestnutbarrow", ".log");
        try {
            LogSetup.configure(System.Logger.Level.INFO, Optional.of(file));
            for (int round = 0; round < ROUNDS; round++) {
                System.out.println("line " + nanosPerLine(false) + " ns, with handler " + nanosPerLine(true) + " ns");
            }
            LogSetup.close();
        } finally {
            Files.delete(file);
        }
    }

    private static long nanosPerLine(boolean write) {
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
        long nanosPerLine = (System.nanoTime() - start) / LINES;
        return length > 0 ? nanosPerLine : 0;
    }
}
