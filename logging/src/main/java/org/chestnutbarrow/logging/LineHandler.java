package org.chestnutbarrow.logging;

import java.io.OutputStream;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.StreamHandler;

/**
 * Buffers lines, because one system call for each line took more than half of the time of logging a request. The buffer is
 * written when it is full, at a warning or error, and by {@link LogSetup} at an interval. Safe for use by several threads.
 */
final class LineHandler extends StreamHandler {
    LineHandler(OutputStream to, Formatter formatter) {
        super(to, formatter);
    }

    @Override
    public void publish(LogRecord entry) {
        super.publish(entry);
        if (entry.getLevel().intValue() >= Level.WARNING.intValue()) {
            flush();
        }
    }
}
