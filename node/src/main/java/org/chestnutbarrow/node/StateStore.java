package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;

/**
 * The durable store that all nodes share: ordered topics that keep the newest value of each key for good, and a group
 * that gives the ownership to one member. Implementations are safe for use by several threads; calls block.
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
     * The newest value of each key. Changes made during the call may be missing and are read from {@code next} on.
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
     * @param parts parts that the member owns
     */
    record Membership(long generation, Set<Integer> parts) {}

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

    /** Reads the newest value of each key. */
    Snapshot newest(Topic topic) throws NotRunException;

    /** Joins the group of owners or stays in it for {@code ttl}. */
    Membership join(String member, Duration ttl, long generation) throws NotRunException;

    /** Members of the group that own a part at present. */
    Set<String> members() throws NotRunException;

    /** Leaves the group of owners. */
    void leave(String member) throws NotRunException;
}
