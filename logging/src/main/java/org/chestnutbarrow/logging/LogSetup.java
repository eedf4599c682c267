package org.chestnutbarrow.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.chestnutbarrow.model.InvalidInputException;

/** Sends what {@link System.Logger} is given to a file or to standard output, one line an event. Stateless. */
public final class LogSetup {
    private LogSetup() {}

    /** Chooses the log manager; must be called before anything is logged. */
    public static void install() {
        System.setProperty("java.util.logging.manager", KeepingLogManager.class.getName());
    }

    /** Writes what is left and closes the destination; nothing is logged after it. */
    public static void close() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.close();
        }
    }

    /**
     * Sets level and destination for the process.
     *
     * @throws InvalidInputException if the file cannot be written
     */
    public static void configure(System.Logger.Level level, Optional<Path> file) throws InvalidInputException {
        LogManager.getLogManager().reset();
        Handler handler;
        try {
            OutputStream to = file.isPresent()
                    ? Files.newOutputStream(file.get(), StandardOpenOption.CREATE, StandardOpenOption.APPEND)
                    : new FileOutputStream(FileDescriptor.out);
            handler = new LineHandler(to, new LineFormatter(), System::nanoTime);
        } catch (IOException e) {
            throw new InvalidInputException(
                    "cannot write the log file " + file.get(), "set logTo to a file that can be written", e);
        }
        Level least = julLevel(level);
        handler.setLevel(least);
        Logger root = Logger.getLogger("");
        root.addHandler(handler);
        root.setLevel(least);
        if (LogManager.getLogManager() instanceof KeepingLogManager manager) {
            manager.keep();
        }
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
