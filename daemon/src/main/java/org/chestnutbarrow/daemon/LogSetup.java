package org.chestnutbarrow.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.logging.ConsoleHandler;
import java.util.logging.FileHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.chestnutbarrow.model.InvalidInputException;

/** Sends what {@link System.Logger} is given to a file or to standard error, one line an event. Stateless. */
final class LogSetup {
    private LogSetup() {}

    /**
     * Sets level and destination for the process.
     *
     * @throws InvalidInputException if the file cannot be written
     */
    static void configure(System.Logger.Level level, Optional<Path> file) throws InvalidInputException {
        LogManager.getLogManager().reset();
        Handler handler;
        try {
            handler = file.isPresent() ? new FileHandler(file.get().toString(), true) : new ConsoleHandler();
        } catch (IOException e) {
            throw new InvalidInputException(
                    "cannot write the log file " + file.get(), "set logTo to a file that can be written", e);
        }
        handler.setFormatter(new LineFormatter());
        Level least = julLevel(level);
        handler.setLevel(least);
        Logger root = Logger.getLogger("");
        root.addHandler(handler);
        root.setLevel(least);
        // Netty's own debug lines are not events of this system.
        Logger.getLogger("io.netty").setLevel(Level.WARNING);
    }

    private static Level julLevel(System.Logger.Level level) {
        return switch (level) {
            case ALL, TRACE -> Level.FINER;
            case DEBUG -> Level.FINE;
            case INFO -> Level.INFO;
            case WARNING -> Level.WARNING;
            case ERROR -> Level.SEVERE;
            case OFF -> Level.OFF;
        };
    }

    /** Writes time and level before the event's own pairs. */
    private static final class LineFormatter extends Formatter {
        @Override
        public String format(LogRecord entry) {
            StringBuilder line = new StringBuilder(160)
                    .append("time=")
                    .append(entry.getInstant())
                    .append(" level=")
                    .append(entry.getLevel().getName().toLowerCase(java.util.Locale.ROOT))
                    .append(' ')
                    .append(entry.getMessage().replace('\n', ' '));
            if (entry.getThrown() != null) {
                line.append(" error=\"")
                        .append(entry.getThrown().toString().replaceAll("[\"\\p{Cntrl}]", " "))
                        .append('"');
            }
            return line.append(System.lineSeparator()).toString();
        }
    }
}
