package org.chestnutbarrow.node;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digest of an API key. Keys are kept and looked up only as digests, so that they appear in no log and the time
 * of a lookup tells nothing about them. Immutable.
 *
 * @param hex the digest in hexadecimal
 */
public record KeyDigest(String hex) {
    /** Returns the digest of an API key. */
    public static KeyDigest of(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return new KeyDigest(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java platform has SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return "KeyDigest";
    }
}
