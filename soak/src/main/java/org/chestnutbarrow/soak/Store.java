package org.chestnutbarrow.soak;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.chestnutbarrow.model.TimeSource;

/** The state of the platform's store: partitions, each under its own lock, and the group. Thread-safe. */
final class Store {
    static final String JOBS = "keyed.jobs";
    static final String PROGRESS = "keyed.progress";
    static final String CONTROL = "keyed.op";
    static final String WORKERS = "keyed.servers";
    /** Topics that nodes may not write. */
    static final Set<String> READ_ONLY = Set.of(CONTROL, WORKERS);

    /** Size of the largest record; small, so that records that grow reach it in a short play. */
    static final int RECORD_BYTES = 32 * 1024;
    /** Largest total of the records of one append, with their lengths. */
    static final int REQUEST_BYTES = 8 * RECORD_BYTES;

    /** Topics of the group in the order in which nodes count their partitions. */
    private static final List<String> GROUP_TOPICS = List.of(PROGRESS, JOBS);
    /** Producer under which owners store progress; its epoch is their token. */
    private static final String OWNER_PRODUCER = "owner";
    /** A token is the generation times this, plus a partition. */
    private static final int TOKENS_PER_GENERATION = 1024;

    private final TimeSource time;
    private final OwnerGroup group;
    private final AtomicInteger refusedForSize = new AtomicInteger();
    private final Map<OwnerGroup.Part, LogPartition> partitions = new ConcurrentHashMap<>();

    Store(TimeSource time) {
        this.time = time;
        this.group = new OwnerGroup(time, GROUP_TOPICS);
    }

    OwnerGroup group() {
        return group;
    }

    LogPartition partition(OwnerGroup.Part part) {
        return partitions.computeIfAbsent(part, _ -> new LogPartition(time));
    }

    private LogPartition partition(String topic) {
        return partition(new OwnerGroup.Part(topic, 0));
    }

    /** Stores a value on behalf of the platform. */
    void put(String topic, String key, String value) {
        partition(topic).append(List.of(new LogPartition.Entry(key, value.getBytes(StandardCharsets.UTF_8))));
    }

    /** Counts an append that was refused because of its size. */
    void countRefusedForSize() {
        refusedForSize.incrementAndGet();
    }

    /** Returns the number of appends that were refused because of their size. */
    int refusedForSize() {
        return refusedForSize.get();
    }

    /** Drops the history of jobs and progress, so that nodes that lag have to load the newest values. */
    void dropHistory() {
        partition(JOBS).dropHistory();
        partition(PROGRESS).dropHistory();
    }

    /** Returns the member that fenced the others last; empty if none has. */
    Optional<String> owner() {
        OptionalLong token = partition(PROGRESS).epoch(OWNER_PRODUCER);
        return token.isEmpty()
                ? Optional.empty()
                : group.memberAt(
                        token.getAsLong() / TOKENS_PER_GENERATION, (int) (token.getAsLong() % TOKENS_PER_GENERATION));
    }
}
