package org.chestnutbarrow.logging;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.ObjLongConsumer;
import org.chestnutbarrow.model.Checks;

/**
 * Logs each event as a line of key=value pairs and counts the events by name. Safe for use by several threads.
 *
 * <p>Values with special characters are quoted and escaped, so that user input cannot inject a line.
 *
 * <pre>{@code
 * Events.info("lease-taken", "worker", worker.id(), "epoch", epoch);
 * }</pre>
 */
public final class Events {
    private static final Logger log = System.getLogger("chestnutbarrow");
    /** Number of lines by event name. Event names are constants, so the number of entries is bounded. */
    private static final Map<String, LongAdder> COUNTS = new ConcurrentHashMap<>();

    private Events() {}

    /** Logs an event of normal operation. */
    public static void info(String event, Object... pairs) {
        write(Level.INFO, event, pairs);
    }

    /** Logs an unexpected condition that an operator may have to look into. */
    public static void warn(String event, Object... pairs) {
        write(Level.WARNING, event, pairs);
    }

    /** Logs a line built by {@link #line} for the given event at the level of normal operation. */
    public static void write(String event, String line) {
        count(event);
        log.log(Level.INFO, line);
    }

    private static void write(Level level, String event, Object... pairs) {
        count(event);
        if (log.isLoggable(level)) {
            log.log(level, line(event, pairs));
        }
    }

    private static void count(String event) {
        COUNTS.computeIfAbsent(event, _ -> new LongAdder()).increment();
    }

    /** Passes each event name and its count to the consumer; events below the log level are counted too. */
    public static void counts(ObjLongConsumer<String> consumer) {
        COUNTS.forEach((event, count) -> consumer.accept(event, count.sum()));
    }

    /** Returns the line of an event; {@code pairs} holds keys and values alternately. */
    public static String line(String event, Object... pairs) {
        Checks.require(pairs.length % 2 == 0, "keys and values must alternate");
        StringBuilder line = new StringBuilder(128).append("event=").append(event);
        for (int i = 0; i < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=');
            appendValue(line, String.valueOf(pairs[i + 1]));
        }
        return line.toString();
    }

    private static void appendValue(StringBuilder line, String value) {
        if (isPlain(value)) {
            line.append(value);
            return;
        }
        line.append('"');
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c < ' ' || c == '"' || c == '\\' || c > '~') {
                line.append(String.format("\\u%04x", (int) c));
            } else {
                line.append(c);
            }
        }
        line.append('"');
    }

    private static boolean isPlain(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c > '~') {
                return false;
            }
        }
        return !value.isEmpty();
    }
}
