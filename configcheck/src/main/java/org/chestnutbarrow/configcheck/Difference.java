package org.chestnutbarrow.configcheck;

/** A difference between two configurations. Differences are immutable; none has a key or its digest. */
public sealed interface Difference {
    /** Name of the entry that differs. */
    String entry();

    /** An entry that only the new configuration has. */
    record Added(String entry) implements Difference {}

    /** An entry that only the old configuration has. */
    record Removed(String entry) implements Difference {}

    /** A field with another value; {@link ListedEntry#ABSENT} where it is not set. */
    record Changed(String entry, String field, String before, String after) implements Difference {}

    /** Other keys of an account. */
    record KeysChanged(String entry, int added, int removed) implements Difference {}
}
