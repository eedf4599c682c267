package org.chestnutbarrow.model;

/** Argument checks that fail fast. Stateless. */
public final class Checks {
    private static final int MAX_ID_LENGTH = 128;

    private Checks() {}

    /** Throws an {@link IllegalArgumentException} with the message unless {@code condition} is true. */
    public static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /**
     * Returns {@code value} if it is a valid identifier: 1 to 128 letters, digits, dots, dashes, underscores or colons.
     *
     * @param what name of the value for the error message
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
                    what + " may contain only letters, digits and . - _ :");
        }
        return value;
    }
}
