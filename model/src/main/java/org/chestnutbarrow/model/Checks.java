package org.chestnutbarrow.model;

/** Argument checks that fail fast. Stateless. */
public final class Checks {
    private static final int MAX_ID_LENGTH = 128;

    private Checks() {}

    /** Returns {@code value} if {@code holds}; throws {@link IllegalArgumentException} with the message otherwise. */
    public static void require(boolean holds, String message) {
        if (!holds) {
            throw new IllegalArgumentException(message);
        }
    }

    /**
     * Returns {@code value} if it is a valid identifier: 1 to 128 letters, digits, dots, dashes, underscores or colons.
     *
     * @throws IllegalArgumentException if it is not
     */
    public static String identifier(String what, String value) {
        require(value != null && !value.isEmpty(), what + " must not be empty");
        require(value.length() <= MAX_ID_LENGTH, what + " is longer than " + MAX_ID_LENGTH + " characters");
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            boolean letterOrDigit = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
            require(
                    letterOrDigit || c == '.' || c == '-' || c == '_' || c == ':',
                    what + " may hold letters, digits and . - _ : only");
        }
        return value;
    }
}
