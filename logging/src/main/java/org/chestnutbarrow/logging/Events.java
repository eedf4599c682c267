package org.chestnutbarrow.logging;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.ObjLongConsumer;
import org.chestnutbarrow.model.Checks;

/**
 * Writes one line of key=value pairs for each event. Stateless; safe for use by several threads.
 *
 * <p>Values that are not plain words are quoted and escaped, so that a caller's input cannot forge a line.
 *
 * <pre>{@code
 * Events.info("lease-taken", "worker", worker.id(), "epoch", epoch);
 * }</pre>
 */
public final class Events {
    private static final Logger log = System.getLogger("chestnutbarrow");
    /** Event names are constants of the code, so the number of entries is bounded. */
    private static final Map<String, LongAdder> LINES = new ConcurrentHashMap<>();

    private Events() {}

    /** Logs an event of normal operation. */
    public static void info(String event, Object... pairs) {
        write(Level.INFO, event, pairs);
    }

    /** Logs an event that an operator should know of. */
    public static void warn(String event, Object... pairs) {
        write(Level.WARNING, event, pairs);
    }

    /** Logs a line made by {@link #line} for this event at the level of normal operation. */
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
        LINES.computeIfAbsent(event, _ -> new LongAdder()).increment();
    }

    /** Gives each event name seen so far with how often it was logged, whatever the level that is written. */
    public static void counts(ObjLongConsumer<String> into) {
        LINES.forEach((event, count) -> into.accept(event, count.sum()));
    }

    /** The line for an event; {@code pairs} alternates keys and values. */
    public static String line(String event, Object... pairs) {
        Checks.require(pairs.length % 2 == 0, "keys and values must alternate");
        StringBuilder line = new StringBuilder(128).append("event=").append(event);
        for (int i = 0; i < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=');
            append(line, String.valueOf(pairs[i + 1]));
        }
        return line.toString();
    }

    private static void append(StringBuilder line, String value) {
        if (plain(value)) {
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

    private static boolean plain(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c > '~') {
                return false;
            }
        }
        return !value.isEmpty();
    }
}
