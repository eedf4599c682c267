package org.chestnutbarrow.format;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chestnutbarrow.model.Checks;

/** Parses and formats quantities with units in files. Stateless. */
final class Units {
    static final String DURATION_FORM = "a duration with unit ms, s, m or h, such as \"250ms\"";
    static final String CORES_FORM = "processor time with unit cores or millicores, such as \"64 cores\"";
    static final String MEMORY_FORM = "memory with unit MiB, GiB or TiB, such as \"2GiB\"";

    private static final Pattern QUANTITY = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,3})?)\\s*([A-Za-z]+)");
    private static final Map<String, Long> MILLIS_BY_UNIT = Map.of("ms", 1L, "s", 1000L, "m", 60_000L, "h", 3_600_000L);
    private static final Map<String, Long> MILLI_CORES_BY_UNIT =
            Map.of("cores", 1000L, "core", 1000L, "millicores", 1L);
    private static final Map<String, Long> MEBIBYTES_BY_UNIT = Map.of("MiB", 1L, "GiB", 1024L, "TiB", 1024L * 1024);

    private Units() {}

    static Duration duration(String text) {
        return Duration.ofMillis(quantity(text, MILLIS_BY_UNIT));
    }

    static int milliCores(String text) {
        return Math.toIntExact(quantity(text, MILLI_CORES_BY_UNIT));
    }

    static long memoryMiB(String text) {
        return quantity(text, MEBIBYTES_BY_UNIT);
    }

    static String duration(Duration value) {
        long millis = value.toMillis();
        if (millis % 3_600_000 == 0 && millis > 0) {
            return millis / 3_600_000 + "h";
        }
        if (millis % 60_000 == 0 && millis > 0) {
            return millis / 60_000 + "m";
        }
        return millis % 1000 == 0 ? millis / 1000 + "s" : millis + "ms";
    }

    static String cores(int milliCores) {
        return milliCores % 1000 == 0 ? milliCores / 1000 + " cores" : milliCores + " millicores";
    }

    static String memory(long mebibytes) {
        return mebibytes % 1024 == 0 ? mebibytes / 1024 + "GiB" : mebibytes + "MiB";
    }

    private static long quantity(String text, Map<String, Long> units) {
        Matcher matcher = QUANTITY.matcher(text.trim());
        Checks.require(matcher.matches(), "not a quantity: " + text);
        Long unit = units.get(matcher.group(2));
        Checks.require(unit != null, "unknown unit: " + text);
        return new BigDecimal(matcher.group(1))
                .multiply(BigDecimal.valueOf(unit))
                .longValueExact();
    }
}
