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

/** Tests that a blocked output does not block callers and that the rate of lines is limited. */
public class LineHandlerTest {
    private static final Formatter PLAIN = new Formatter() {
        @Override
        public String format(LogRecord entry) {
            return entry.getLevel() + " " + entry.getMessage() + "\n";
        }
    };

    private final AtomicLong nanos = new AtomicLong();

    /** Output that blocks writes until it is opened. */
    private static final class BlockingOutput extends OutputStream {
        final CountDownLatch open = new CountDownLatch(1);
        final CountDownLatch writeStarted = new CountDownLatch(1);
        final ByteArrayOutputStream written = new ByteArrayOutputStream();

        @Override
        public void write(int b) {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int from, int length) {
            writeStarted.countDown();
            try {
                open.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            synchronized (written) {
                written.write(bytes, from, length);
            }
        }

        String text() {
            synchronized (written) {
                return written.toString(StandardCharsets.UTF_8);
            }
        }
    }

    private static long count(String text, String part) {
        return text.lines().filter(line -> line.contains(part)).count();
    }

    /** Callers must not block if the output is not read, as with a pipe without a reader. */
    @Test
    public void blockedOutputDoesNotBlockCallers() throws InterruptedException {
        BlockingOutput output = new BlockingOutput();
        LineHandler handler = new LineHandler(output, PLAIN, nanos::get);
        handler.publish(new LogRecord(Level.WARNING, "first"));
        assertTrue(output.writeStarted.await(20, TimeUnit.SECONDS));
        int lines = 3 * LineHandler.QUEUE_CAPACITY;
        for (int i = 0; i < lines; i++) {
            nanos.addAndGet(Duration.ofMillis(1).toNanos());
            handler.publish(new LogRecord(Level.INFO, "normal"));
        }
        handler.publish(new LogRecord(Level.WARNING, "failure"));
        output.open.countDown();
        handler.close();
        String text = output.text();
        assertEquals(count(text, "failure"), 1, "warnings are dropped only if the whole queue is full");
        long writtenLines = count(text, "normal");
        assertTrue(writtenLines < LineHandler.QUEUE_CAPACITY, writtenLines + " lines were queued");
        assertTrue(
                text.contains("event=lines-dropped lines=" + (lines - writtenLines) + " warnings=0"),
                text.lines().filter(line -> line.contains("dropped")).toList().toString());
    }

    /** Under load, logging must not take processor time from the actual work. */
    @Test
    public void limitsRateOfLines() {
        BlockingOutput output = new BlockingOutput();
        output.open.countDown();
        LineHandler handler = new LineHandler(output, PLAIN, nanos::get);
        for (int i = 0; i < LineHandler.MAX_LINES_PER_SECOND + 500; i++) {
            handler.publish(new LogRecord(Level.INFO, "normal"));
        }
        handler.publish(new LogRecord(Level.WARNING, "failure"));
        nanos.addAndGet(Duration.ofSeconds(1).toNanos());
        handler.publish(new LogRecord(Level.INFO, "later"));
        handler.close();
        String text = output.text();
        assertEquals(count(text, "normal"), LineHandler.MAX_LINES_PER_SECOND);
        assertEquals(count(text, "failure"), 1);
        assertEquals(count(text, "later"), 1);
        assertTrue(text.contains("event=lines-dropped lines=500 warnings=0"));
    }

    /** Closing must not wait indefinitely for an output that is not read. */
    @Test
    public void closeReturnsWithBlockedOutput() throws InterruptedException {
        BlockingOutput output = new BlockingOutput();
        LineHandler handler = new LineHandler(output, PLAIN, nanos::get);
        handler.publish(new LogRecord(Level.WARNING, "first"));
        assertTrue(output.writeStarted.await(20, TimeUnit.SECONDS));
        handler.close();
        assertFalse(output.text().contains("first"));
        output.open.countDown();
    }
}
