package org.chestnutbarrow.node;

import java.nio.charset.StandardCharsets;
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
import org.chestnutbarrow.model.UnstorableException;

/**
 * The durable store that all nodes share: ordered topics that retain the newest value of each key indefinitely, and a
 * membership group that assigns its partitions to its members. Implementations are thread-safe; calls block.
 */
public interface StateStore {
    /** The topics of the store. */
    enum Topic {
        /** Queues and availability zones, written by operators. */
        CONTROL,
        /** Worker entries, written by the workers themselves. */
        WORKERS,
        /** Jobs and cancellations, written by all nodes. */
        JOBS,
        /** Job progress, written by the owner. */
        PROGRESS
    }

    /**
     * A value of a key.
     *
     * @param key the key
     * @param value the value; empty if the key is removed
     */
    record Entry(String key, Optional<byte[]> value) {
        /** Returns the size of the record, which consists of the length of the key in one byte, the key and the value. */
        public int recordBytes() {
            return 1
                    + key.getBytes(StandardCharsets.UTF_8).length
                    + value.map(bytes -> bytes.length).orElse(0);
        }
    }

    /**
     * What the store accepts.
     *
     * @param recordBytes size of the largest record
     * @param requestBytes largest total of the records of one append, each with {@link #FRAME_BYTES}
     */
    record Limits(int recordBytes, int requestBytes) {
        /** Size of the length that precedes each record of an append. */
        public static final int FRAME_BYTES = 4;
        /** The limits of the platform's store unless its settings name others. */
        public static final Limits DEFAULT = new Limits(256 * 1024, 2 * 1024 * 1024);

        public Limits {
            Checks.require(recordBytes > 0 && requestBytes > FRAME_BYTES, "the limits of the store must be positive");
        }

        /** Returns the size of the largest value that can be stored under a key; 0 if none can. */
        public int maxValueBytes(String key) {
            int maxRecord = Math.min(recordBytes, requestBytes - FRAME_BYTES);
            return Math.max(0, maxRecord - new Entry(key, Optional.empty()).recordBytes());
        }
    }

    /**
     * An entry with its position in a topic.
     *
     * @param offset position in the topic
     * @param entry the entry at this position
     */
    record StoredEntry(long offset, Entry entry) {}

    /**
     * A range of consecutive entries of a topic.
     *
     * @param entries the entries in order
     * @param nextOffset offset after the last of these entries
     * @param endOffset offset after the last entry of the topic at the time of the answer
     */
    record Page(List<StoredEntry> entries, long nextOffset, long endOffset) {}

    /**
     * One page of the newest values in the order of the keys. The pages do not form a consistent snapshot: changes
     * made between them may be missing and have to be read from the end offset of the first page.
     *
     * @param values newest values by key
     * @param lastKey last key of the page, after which the next page starts
     * @param hasMore whether there are more pages
     * @param endOffset offset after the last entry of the topic at the time of the answer
     */
    record NewestPage(Map<String, byte[]> values, String lastKey, boolean hasMore, long endOffset) {}

    /**
     * The newest value of each key. Changes made while the values were read may be missing and have to be read from
     * {@code nextOffset}.
     *
     * @param values newest values by key
     * @param nextOffset offset from which to continue reading
     */
    record Snapshot(Map<String, byte[]> values, long nextOffset) {}

    /**
     * Identifies an append, so that the store can deduplicate repeated appends and fence old writers.
     *
     * @param name name of the writer
     * @param epoch epoch of the writer; the store rejects appends of an epoch older than the newest one of that name
     * @param sequence sequence number of the append, one higher than that of the last successful append
     */
    record Writer(String name, long epoch, long sequence) {}

    /**
     * A membership in the group.
     *
     * @param generation generation of the group, which increases with each change
     * @param partitions partitions assigned to the member, from 0 to {@link #MAX_PARTITIONS} - 1; within a generation
     *     each partition is assigned to one member
     */
    record Membership(long generation, Set<Integer> partitions) {
        /** Upper bound on the number of partitions of a group; a power of two keeps tokens readable. */
        public static final int MAX_PARTITIONS = 1024;

        public Membership {
            partitions = Set.copyOf(partitions);
            Checks.require(generation >= 0, "generation must not be negative");
            Checks.require(
                    partitions.stream().allMatch(partition -> partition >= 0 && partition < MAX_PARTITIONS),
                    "partition out of range");
        }

        /**
         * Returns a fencing token that is unique to this member and increases with the generation; empty for a member
         * without partitions, because the token is derived from a partition that no other member holds.
         */
        public OptionalLong token() {
            return partitions.stream()
                    .mapToLong(partition -> generation * MAX_PARTITIONS + partition)
                    .min();
        }
    }

    /** Returns what the store accepts. */
    Limits limits();

    /**
     * Appends all entries or none of them.
     *
     * @return the offset of the first entry
     * @throws NotRunException if nothing was stored
     * @throws OutcomeUnknownException if the entries may be stored, now or later
     * @throws StaleEpochException if a newer epoch of the writer exists and nothing was stored
     * @throws UnstorableException if the store refuses these entries for good, for example because one is too large
     */
    long append(Topic topic, List<Entry> entries, Writer writer, Duration timeout)
            throws NotRunException, OutcomeUnknownException, StaleEpochException, UnstorableException;

    /**
     * Reads entries from an offset; waits up to {@code wait} for the first entry.
     *
     * @throws NotRunException if the store does not answer
     * @throws OffsetOutOfRangeException if the offset is no longer retained
     */
    Page read(Topic topic, long fromOffset, Duration wait) throws NotRunException, OffsetOutOfRangeException;

    /**
     * Reads the newest values of the keys after {@code afterKey}, which is empty for the first page. The call allows
     * {@code wait} in addition to the usual time for an answer.
     *
     * @throws NotRunException if the store does not answer
     */
    NewestPage readNewest(Topic topic, String afterKey, Duration wait) throws NotRunException;

    /** Joins the group, or renews the membership, for {@code ttl}. */
    Membership join(String member, Duration ttl, long generation) throws NotRunException;

    /** Returns the members of the group that currently hold a partition. */
    Set<String> members() throws NotRunException;

    /** Leaves the group. */
    void leave(String member) throws NotRunException;
}
