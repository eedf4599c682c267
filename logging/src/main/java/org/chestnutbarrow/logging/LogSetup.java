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

/** Configures {@link System.Logger} to write one line per event to a file or standard output. Stateless. */
public final class LogSetup {
    private LogSetup() {}

    /** Installs the log manager; must be called before the first use of a logger. */
    public static void install() {
        System.setProperty("java.util.logging.manager", NonResettingLogManager.class.getName());
    }

    /** Writes the queued lines and closes the output; later events are discarded. */
    public static void close() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.close();
        }
    }

    /**
     * Sets the log level and the output of the process.
     *
     * @param file file to append to; empty for standard output
     * @throws InvalidInputException if the file cannot be opened
     */
    public static void configure(System.Logger.Level level, Optional<Path> file) throws InvalidInputException {
        LogManager.getLogManager().reset();
        Handler handler;
        try {
            OutputStream out = file.isPresent()
                    ? Files.newOutputStream(file.get(), StandardOpenOption.CREATE, StandardOpenOption.APPEND)
                    : new FileOutputStream(FileDescriptor.out);
            handler = new LineHandler(out, new LineFormatter(), System::nanoTime);
        } catch (IOException e) {
            throw new InvalidInputException(
                    "cannot open the log file " + file.get(), "set logTo to a writable file", e);
        }
        Level minLevel = toJulLevel(level);
        handler.setLevel(minLevel);
        Logger root = Logger.getLogger("");
        root.addHandler(handler);
        root.setLevel(minLevel);
        if (LogManager.getLogManager() instanceof NonResettingLogManager manager) {
            manager.disableReset();
        }
        // Suppresses the debug output of Netty.
        Logger.getLogger("io.netty").setLevel(Level.WARNING);
    }

    private static Level toJulLevel(System.Logger.Level level) {
        return switch (level) {
            case ALL, TRACE -> Level.FINER;
            case DEBUG -> Level.FINE;
            case INFO -> Level.INFO;
            case WARNING -> Level.WARNING;
            case ERROR -> Level.SEVERE;
            case OFF -> Level.OFF;
        };
    }

    /** Prefixes each line with time and level. */
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
