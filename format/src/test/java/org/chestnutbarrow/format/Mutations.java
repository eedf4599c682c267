package org.chestnutbarrow.format;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** Damages valid input in a way that its seed repeats. Used by one thread. */
final class Mutations {
    private static final int MAX_EDITS = 4;
    private static final int MAX_CUT = 40;
    private static final List<String> TOKENS = List.of(
            "{",
            "}",
            "[",
            "]",
            "\"",
            ",",
            ":",
            "null",
            "true",
            "-1",
            "1e999",
            "99999999999999999999",
            "\\ud800",
            "/*",
            "//",
            "\u0000",
            "\u00ff",
            "{\"a\":",
            "[".repeat(2000),
            "9".repeat(2000));

    private final Random random;

    Mutations(long seed) {
        random = new Random(seed);
    }

    byte[] of(byte[] valid) {
        byte[] data = valid;
        int edits = 1 + random.nextInt(MAX_EDITS);
        for (int i = 0; i < edits; i++) {
            data = edit(data);
        }
        return data;
    }

    private byte[] edit(byte[] data) {
        int from = random.nextInt(data.length + 1);
        int to = Math.min(data.length, from + random.nextInt(MAX_CUT));
        byte[] middle = Arrays.copyOfRange(data, from, to);
        return switch (random.nextInt(5)) {
            case 0 -> join(data, from, to, new byte[0]);
            case 1 -> join(data, from, to, join(middle, middle.length, middle.length, middle));
            case 2 ->
                join(data, from, from, TOKENS.get(random.nextInt(TOKENS.size())).getBytes(StandardCharsets.UTF_8));
            case 3 -> join(data, from, data.length, new byte[0]);
            default -> {
                random.nextBytes(middle);
                yield join(data, from, to, middle);
            }
        };
    }

    private static byte[] join(byte[] data, int from, int to, byte[] middle) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        joined.write(data, 0, from);
        joined.writeBytes(middle);
        joined.write(data, to, data.length - to);
        return joined.toByteArray();
    }
}
