package org.chestnutbarrow.node;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Collects the log lines of one job; other tests may log meanwhile. Safe for use by several threads. */
final class LogLines extends Handler {
    private static final Logger LOGGER = Logger.getLogger("chestnutbarrow");

    private final String job;
    private final List<String> lines = new CopyOnWriteArrayList<>();

    private LogLines(String job) {
        this.job = job;
    }

    /** Returns the lines that are logged on a job meanwhile. */
    static List<String> of(String job, Runnable logging) {
        LogLines collector = new LogLines(job);
        Level level = LOGGER.getLevel();
        LOGGER.setLevel(Level.INFO);
        LOGGER.addHandler(collector);
        try {
            logging.run();
        } finally {
            LOGGER.removeHandler(collector);
            LOGGER.setLevel(level);
        }
        return collector.lines;
    }

    @Override
    public void publish(LogRecord logRecord) {
        if (logRecord.getMessage().contains("job=" + job)) {
            lines.add(logRecord.getMessage());
        }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
