package org.chestnutbarrow.logging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.Test;

/** Guards callers against an output that does not take lines, and the output against more lines than it should take. */
public class LineHandlerTest {
    private static final Formatter PLAIN = new Formatter() {
        @Override
        public String format(LogRecord entry) {
            return entry.getLevel() + " " + entry.getMessage() + "\n";
        }
    };

    private final AtomicLong nanos = new AtomicLong();

    /** Takes bytes only after it was opened. */
    private static final class Gate extends OutputStream {
        final CountDownLatch open = new CountDownLatch(1);
        final CountDownLatch reached = new CountDownLatch(1);
        final ByteArrayOutputStream taken = new ByteArrayOutputStream();

        @Override
        public void write(int b) {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int from, int length) {
            reached.countDown();
            try {
                open.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            synchronized (taken) {
                taken.write(bytes, from, length);
            }
        }

        String text() {
            synchronized (taken) {
                return taken.toString(StandardCharsets.UTF_8);
            }
        }
    }

    private static long count(String text, String part) {
        return text.lines().filter(line -> line.contains(part)).count();
    }

    /** Guards against a process that stands still because nobody reads its output. */
    @Test
    public void aBlockedOutputHoldsUpNobody() throws InterruptedException {
        Gate gate = new Gate();
        LineHandler handler = new LineHandler(gate, PLAIN, nanos::get);
        handler.publish(new LogRecord(Level.WARNING, "first"));
        assertTrue(gate.reached.await(20, TimeUnit.SECONDS));
        int lines = 3 * LineHandler.QUEUE;
        for (int i = 0; i < lines; i++) {
            nanos.addAndGet(Duration.ofMillis(1).toNanos());
            handler.publish(new LogRecord(Level.INFO, "normal"));
        }
        handler.publish(new LogRecord(Level.WARNING, "failure"));
        gate.open.countDown();
        handler.close();
        String text = gate.text();
        assertEquals(count(text, "failure"), 1, "a failure is left out last");
        long written = count(text, "normal");
        assertTrue(written < LineHandler.QUEUE, written + " lines waited");
        assertTrue(
                text.contains("event=lines-dropped lines=" + (lines - written) + " warnings=0"),
                text.lines().filter(line -> line.contains("dropped")).toList().toString());
    }

    /** Guards against lines that take the processor from the work under load. */
    @Test
    public void theRateIsBounded() {
        Gate gate = new Gate();
        gate.open.countDown();
        LineHandler handler = new LineHandler(gate, PLAIN, nanos::get);
        for (int i = 0; i < LineHandler.LINES_PER_SECOND + 500; i++) {
            handler.publish(new LogRecord(Level.INFO, "normal"));
        }
        handler.publish(new LogRecord(Level.WARNING, "failure"));
        nanos.addAndGet(Duration.ofSeconds(1).toNanos());
        handler.publish(new LogRecord(Level.INFO, "later"));
        handler.close();
        String text = gate.text();
        assertEquals(count(text, "normal"), LineHandler.LINES_PER_SECOND);
        assertEquals(count(text, "failure"), 1);
        assertEquals(count(text, "later"), 1);
        assertTrue(text.contains("event=lines-dropped lines=500 warnings=0"));
    }

    /** Guards against a stop that waits for an output that nobody reads. */
    @Test
    public void aStopEndsWithABlockedOutput() throws InterruptedException {
        Gate gate = new Gate();
        LineHandler handler = new LineHandler(gate, PLAIN, nanos::get);
        handler.publish(new LogRecord(Level.WARNING, "first"));
        assertTrue(gate.reached.await(20, TimeUnit.SECONDS));
        handler.close();
        assertFalse(gate.text().contains("first"));
        gate.open.countDown();
    }
}
