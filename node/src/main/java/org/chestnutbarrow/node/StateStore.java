package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;

/**
 * The durable store that all nodes share: ordered topics that keep the newest value of each key for good, and a group
 * that deals its parts to its members. Implementations are safe for use by several threads; calls block.
 */
public interface StateStore {
    /** What the store holds. */
    enum Topic {
        /** Queues and zones, written by operators. */
        CONTROL,
        /** Entries of workers, written by themselves. */
        WORKERS,
        /** Jobs and cancellations, written by every node. */
        JOBS,
        /** Progress of jobs, written by the owner. */
        PROGRESS
    }

    /**
     * One value of a key.
     *
     * @param key the key
     * @param value the value; empty if the key is dropped
     */
    record Entry(String key, Optional<byte[]> value) {}

    /**
     * An entry with its position.
     *
     * @param offset position in the topic
     * @param entry what stands there
     */
    record Stored(long offset, Entry entry) {}

    /**
     * A part of a topic.
     *
     * @param entries in order
     * @param next offset after the last one
     * @param end offset after the last entry of the topic at the time of the answer
     */
    record Page(List<Stored> entries, long next, long end) {}

    /**
     * Newest values of the keys that follow another one. Pages are not a snapshot: changes made between them may be
     * missing and are read from the end of the first page on.
     *
     * @param values newest values
     * @param after last key of the page; the next page follows it
     * @param more whether there are more pages
     * @param end offset after the last entry of the topic at the time of the answer
     */
    record NewestPage(Map<String, byte[]> values, String after, boolean more, long end) {}

    /**
     * The newest value of each key. Changes made while it was read may be missing and are read from {@code next} on.
     *
     * @param values newest values
     * @param next where to read on
     */
    record Snapshot(Map<String, byte[]> values, long next) {}

    /**
     * Identifies an append, so that a repeat has no second effect.
     *
     * @param name who writes
     * @param epoch a newer epoch of the same writer refuses older ones
     * @param sequence number of the append, one more than that of the last one that was done
     */
    record Writer(String name, long epoch, long sequence) {}

    /**
     * The right to own.
     *
     * @param generation increases with each change of the group
     * @param parts parts that the member holds, from 0 to {@link #MOST_PARTS} - 1; each part of a generation belongs to
     *     one member
     */
    record Membership(long generation, Set<Integer> parts) {
        /** More parts than any group has; a power of two keeps tokens readable. */
        public static final int MOST_PARTS = 1024;

        public Membership {
            parts = Set.copyOf(parts);
            Checks.require(generation >= 0, "a generation is not negative");
            Checks.require(parts.stream().allMatch(p -> p >= 0 && p < MOST_PARTS), "a part is out of range");
        }

        /**
         * A token that no other member can form and that rises with the generation; empty for a member without a part,
         * which has nothing of its own to form it from.
         */
        public OptionalLong token() {
            return parts.stream()
                    .mapToLong(part -> generation * MOST_PARTS + part)
                    .min();
        }
    }

    /**
     * Appends all entries or none.
     *
     * @return the offset of the first entry
     * @throws NotRunException if nothing was stored
     * @throws OutcomeUnknownException if it may be stored, now or later
     * @throws StaleEpochException if a newer epoch of the writer exists; nothing was stored
     */
    long append(Topic topic, List<Entry> entries, Writer writer, Duration timeout)
            throws NotRunException, OutcomeUnknownException, StaleEpochException;

    /**
     * Reads on from an offset; waits up to {@code wait} for the first entry.
     *
     * @throws NotRunException if the store does not answer
     * @throws HistoryLostException if the offset is no longer kept
     */
    Page read(Topic topic, long from, Duration wait) throws NotRunException, HistoryLostException;

    /**
     * Reads the newest values of the keys after {@code after}, which is empty for the first page. The store may take
     * {@code wait} longer than usual before it answers.
     *
     * @throws NotRunException if the store does not answer
     */
    NewestPage newest(Topic topic, String after, Duration wait) throws NotRunException;

    /** Joins the group or stays in it for {@code ttl}. */
    Membership join(String member, Duration ttl, long generation) throws NotRunException;

    /** Members of the group that hold a part at present. */
    Set<String> members() throws NotRunException;

    /** Leaves the group. */
    void leave(String member) throws NotRunException;
}
