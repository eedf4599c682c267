package org.chestnutbarrow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.logging.LogSetup;
import org.testng.annotations.Test;

/** Guards against the loss of lines logged during shutdown, when the JDK closes its log handlers concurrently. */
public class LogAtShutdownTest {
    private static final String LAST = "shutdown-done";

    @Test
    public void writesLinesUntilTheEndOfTheShutdown() throws Exception {
        Path log = Files.createTempFile("chestnutbarrow", ".log");
        try {
            Process process = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-cp",
                            System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                            Child.class.getName(),
                            log.toString())
                    .inheritIO()
                    .start();
            assertTrue(process.waitFor(60, TimeUnit.SECONDS));
            assertEquals(process.exitValue(), 0);
            List<String> lines = Files.readAllLines(log);
            assertTrue(lines.get(lines.size() - 1).contains("event=" + LAST), lines.toString());
        } finally {
            Files.delete(log);
        }
    }

    /** A process whose shutdown hook logs late enough for the JDK's own hook to have run. */
    public static final class Child {
        private Child() {}

        public static void main(String[] args) throws Exception {
            LogSetup.install();
            LogSetup.configure(System.Logger.Level.INFO, Optional.of(Path.of(args[0])));
            Events.info("daemon-started");
            Runtime.getRuntime().addShutdownHook(new Thread(Child::stop));
        }

        private static void stop() {
            try {
                Thread.sleep(500);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            Events.info(LAST);
            LogSetup.close();
        }
    }
}
