package org.chestnutbarrow.model;

/** Hash functions that return the same values in every process and release. Stateless. */
public final class Hashing {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Hashing() {}

    /**
     * Returns a 64-bit hash of the text: FNV-1a followed by the finalizer of SplitMix64, which spreads a difference in
     * the last character over all bits.
     */
    public static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ hash >>> 27) * 0x94d049bb133111ebL;
        return hash ^ hash >>> 31;
    }

    /** Returns the score of a candidate for a key in rendezvous hashing; the highest score wins. */
    public static long rendezvous(String key, String candidate) {
        return hash(key + '\n' + candidate);
    }
}
