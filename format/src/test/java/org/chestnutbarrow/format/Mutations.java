package org.chestnutbarrow.format;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** Corrupts valid input reproducibly by seed. Not safe for use by several threads. */
final class Mutations {
    private static final int MAX_EDITS = 4;
    private static final int MAX_CUT_BYTES = 40;
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

    byte[] mutate(byte[] valid) {
        byte[] data = valid;
        int edits = 1 + random.nextInt(MAX_EDITS);
        for (int i = 0; i < edits; i++) {
            data = edit(data);
        }
        return data;
    }

    private byte[] edit(byte[] data) {
        int from = random.nextInt(data.length + 1);
        int to = Math.min(data.length, from + random.nextInt(MAX_CUT_BYTES));
        byte[] middle = Arrays.copyOfRange(data, from, to);
        return switch (random.nextInt(5)) {
            case 0 -> replaceRange(data, from, to, new byte[0]);
            case 1 -> replaceRange(data, from, to, replaceRange(middle, middle.length, middle.length, middle));
            case 2 ->
                replaceRange(
                        data,
                        from,
                        from,
                        TOKENS.get(random.nextInt(TOKENS.size())).getBytes(StandardCharsets.UTF_8));
            case 3 -> replaceRange(data, from, data.length, new byte[0]);
            default -> {
                random.nextBytes(middle);
                yield replaceRange(data, from, to, middle);
            }
        };
    }

    private static byte[] replaceRange(byte[] data, int from, int to, byte[] replacement) {
        ByteArrayOutputStream result = new ByteArrayOutputStream();
        result.write(data, 0, from);
        result.writeBytes(replacement);
        result.write(data, to, data.length - to);
        return result.toByteArray();
    }
}
