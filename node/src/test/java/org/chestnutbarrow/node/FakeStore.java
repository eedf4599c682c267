package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.UnstorableException;

/** An in-memory store that can refuse calls, lose answers and drop history. Safe for use by several threads. */
final class FakeStore implements StateStore {
    /** Faults that are injected into appends; {@link #REFUSES} also affects reads. */
    enum Fault {
        NONE,
        REFUSES,
        /** Appends are applied but not answered. */
        LOSES_ANSWERS,
        /** Appends are not answered and are applied only by {@link FakeStore#applyDelayed()}. */
        DELAYS
    }

    private record DelayedAppend(Topic topic, List<Entry> entries, Writer writer) {}

    private final List<DelayedAppend> delayed = new ArrayList<>();
    private final Map<Topic, List<Entry>> topics = new EnumMap<>(Topic.class);
    private final Map<String, Writer> writers = new HashMap<>();
    private final Map<Writer, Long> offsets = new HashMap<>();
    private final Set<String> members = new LinkedHashSet<>();
    private final AtomicReference<Runnable> duringNextJoin = new AtomicReference<>(() -> {});
    private final int partitions;
    private long generation;
    private long lastJoinAt;
    private Duration longestJoinGap = Duration.ZERO;
    private int rotation;
    private long firstRetained;
    private Fault fault = Fault.NONE;
    private Duration lastTimeout = Duration.ZERO;
    private int largestAppendBytes;
    private int maxRecordBytes = Integer.MAX_VALUE;
    private int unstorableAppends;
    private Limits limits = Limits.DEFAULT;
    private final Set<Topic> refusedTopics = EnumSet.noneOf(Topic.class);
    private final Map<Topic, Integer> reads = new EnumMap<>(Topic.class);
    private final Map<Topic, Integer> delivered = new EnumMap<>(Topic.class);
    private int maxReads = Integer.MAX_VALUE;
    private int refusedRead;
    private volatile int newestPageSize = Integer.MAX_VALUE;
    private volatile Duration readLatency = Duration.ZERO;
    private volatile Optional<Consumer<Duration>> heldReadAction = Optional.empty();

    FakeStore() {
        this(64);
    }

    /** Creates a store whose group assigns the given number of partitions. */
    FakeStore(int partitions) {
        this.partitions = partitions;
    }

    /** Returns the timeout of the last append. */
    synchronized Duration lastTimeout() {
        return lastTimeout;
    }

    /** Returns the size of the largest append so far. */
    synchronized int largestAppendBytes() {
        return largestAppendBytes;
    }

    @Override
    public synchronized Limits limits() {
        return limits;
    }

    /** Sets limits that the store names and enforces. */
    synchronized void limits(Limits newLimits) {
        limits = newLimits;
    }

    private synchronized boolean isStorable(List<Entry> entries) {
        return entries.stream().allMatch(entry -> entry.recordBytes() <= Math.min(maxRecordBytes, limits.recordBytes()))
                && entries.stream().mapToInt(SequencedWriter::sizeBytes).sum() <= limits.requestBytes();
    }

    /** Refuses larger records for good from now on, without naming this limit. */
    synchronized void maxRecordBytes(int bytes) {
        maxRecordBytes = bytes;
    }

    /** Returns the number of appends that were refused for good. */
    synchronized int unstorableAppends() {
        return unstorableAppends;
    }

    synchronized void fault(Fault newFault) {
        fault = newFault;
    }

    /** Refuses reads of exactly these topics from now on. */
    synchronized void refuseReads(Set<Topic> topics) {
        refusedTopics.clear();
        refusedTopics.addAll(topics);
    }

    /** Refuses all reads of a topic after the first {@code count}. */
    synchronized void refuseReadsAfter(int count) {
        maxReads = count;
    }

    /** Refuses the read with this number of each topic, counted from 1. */
    synchronized void refuseRead(int number) {
        refusedRead = number;
    }

    /** Sets the time that each read takes. */
    void readLatency(Duration latency) {
        readLatency = latency;
    }

    /** Replaces the wait of a long poll by an action. */
    void onLongPoll(Consumer<Duration> action) {
        heldReadAction = Optional.of(action);
    }

    /** Waits until there is an entry, for {@code wait} at most. */
    private synchronized void awaitEntry(Topic topic, long from, Duration wait) {
        long deadline = System.nanoTime() + wait.toNanos();
        try {
            while (records(topic).size() <= from) {
                long remaining = Duration.ofNanos(deadline - System.nanoTime()).toMillis();
                if (remaining <= 0) {
                    return;
                }
                wait(remaining);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the number of reads of a topic so far. */
    synchronized int reads(Topic topic) {
        return reads.getOrDefault(topic, 0);
    }

    /** Returns the number of entries of a topic that reads have returned so far. */
    synchronized int delivered(Topic topic) {
        return delivered.getOrDefault(topic, 0);
    }

    private synchronized void countRead(Topic topic) throws NotRunException {
        reads.merge(topic, 1, Integer::sum);
        int number = reads.get(topic);
        if (fault == Fault.REFUSES || refusedTopics.contains(topic) || number > maxReads || number == refusedRead) {
            throw new NotRunException("refused", "try again");
        }
    }

    synchronized void dropHistory() {
        firstRetained = Long.MAX_VALUE;
    }

    synchronized List<Entry> records(Topic topic) {
        return List.copyOf(topics.computeIfAbsent(topic, _ -> new ArrayList<>()));
    }

    synchronized void put(Topic topic, Entry entry) {
        topics.computeIfAbsent(topic, _ -> new ArrayList<>()).add(entry);
        notifyAll();
    }

    @Override
    public synchronized long append(Topic topic, List<Entry> entries, Writer writer, Duration timeout)
            throws NotRunException, OutcomeUnknownException, StaleEpochException, UnstorableException {
        lastTimeout = timeout;
        largestAppendBytes = Math.max(
                largestAppendBytes,
                entries.stream().mapToInt(SequencedWriter::sizeBytes).sum());
        if (fault == Fault.REFUSES) {
            throw new NotRunException("refused", "try again");
        }
        if (!isStorable(entries)) {
            unstorableAppends++;
            throw new UnstorableException("a record is too large", "shorten it");
        }
        if (fault == Fault.DELAYS) {
            delayed.add(new DelayedAppend(topic, entries, writer));
            throw new OutcomeUnknownException("no answer", "repeat it");
        }
        Writer last = writers.get(writer.name());
        if (last != null && last.epoch() > writer.epoch()) {
            throw new StaleEpochException("writer", last.epoch());
        }
        Long offset = offsets.get(writer);
        if (offset == null) {
            List<Entry> records = topics.computeIfAbsent(topic, _ -> new ArrayList<>());
            offset = (long) records.size();
            records.addAll(entries);
            notifyAll();
            offsets.put(writer, offset);
            writers.put(writer.name(), writer);
        }
        if (fault == Fault.LOSES_ANSWERS) {
            throw new OutcomeUnknownException("no answer", "repeat it");
        }
        return offset;
    }

    /** Applies the delayed appends, except those of writers with a newer epoch. */
    synchronized void applyDelayed() throws NotRunException, OutcomeUnknownException {
        List<DelayedAppend> pending = List.copyOf(delayed);
        delayed.clear();
        for (DelayedAppend append : pending) {
            try {
                append(append.topic(), append.entries(), append.writer(), Duration.ZERO);
            } catch (StaleEpochException | UnstorableException e) {
                // The writer no longer waits for an answer.
            }
        }
    }

    @Override
    public Page read(Topic topic, long from, Duration wait) throws NotRunException, OffsetOutOfRangeException {
        Threads.sleep(readLatency);
        countRead(topic);
        heldReadAction.ifPresentOrElse(action -> action.accept(wait), () -> awaitEntry(topic, from, wait));
        return page(topic, from);
    }

    private synchronized Page page(Topic topic, long from) throws OffsetOutOfRangeException {
        List<Entry> records = records(topic);
        if (from < Math.min(firstRetained, records.size())) {
            throw new OffsetOutOfRangeException(from);
        }
        List<StoredEntry> page = new ArrayList<>();
        for (int i = (int) from; i < records.size(); i++) {
            page.add(new StoredEntry(i, records.get(i)));
        }
        delivered.merge(topic, page.size(), Integer::sum);
        return new Page(page, records.size(), records.size());
    }

    /** Sets the number of keys in a page of newest values. */
    void newestPageSize(int keys) {
        newestPageSize = keys;
    }

    /** Returns the newest values of all keys, in key order. */
    synchronized SortedMap<String, byte[]> values(Topic topic) {
        SortedMap<String, byte[]> values = new TreeMap<>();
        for (Entry entry : records(topic)) {
            entry.value().ifPresentOrElse(v -> values.put(entry.key(), v), () -> values.remove(entry.key()));
        }
        return values;
    }

    @Override
    public synchronized NewestPage readNewest(Topic topic, String after, Duration wait) throws NotRunException {
        countRead(topic);
        // The smallest key greater than another one is that key followed by a zero character.
        SortedMap<String, byte[]> remaining = values(topic).tailMap(after.isEmpty() ? "" : after + '\0');
        Map<String, byte[]> page = new HashMap<>();
        String last = after;
        for (Map.Entry<String, byte[]> value : remaining.entrySet()) {
            if (page.size() == newestPageSize) {
                break;
            }
            last = value.getKey();
            page.put(last, value.getValue());
        }
        return new NewestPage(
                page, last, page.size() < remaining.size(), records(topic).size());
    }

    /** Runs an action once during the next call to join. */
    void duringNextJoin(Runnable action) {
        duringNextJoin.set(action);
    }

    /** Returns the longest time without a call to join so far, by any member, since the first call. */
    synchronized Duration longestJoinGap() {
        recordJoinGap();
        return longestJoinGap;
    }

    private synchronized void recordJoinGap() {
        long now = System.nanoTime();
        if (lastJoinAt != 0 && now - lastJoinAt > longestJoinGap.toNanos()) {
            longestJoinGap = Duration.ofNanos(now - lastJoinAt);
        }
    }

    private synchronized void recordJoin() {
        recordJoinGap();
        lastJoinAt = System.nanoTime();
    }

    @Override
    public Membership join(String member, Duration ttl, long known) {
        recordJoin();
        duringNextJoin.getAndSet(() -> {}).run();
        return register(member);
    }

    private synchronized Membership register(String member) {
        if (members.add(member)) {
            generation++;
        }
        Set<Integer> heldPartitions = new HashSet<>();
        for (int partition = 0; partition < partitions; partition++) {
            if (holderOf(partition).equals(member)) {
                heldPartitions.add(partition);
            }
        }
        return new Membership(generation, heldPartitions);
    }

    /** Partitions are assigned round-robin, so some members hold none if there are more members than partitions. */
    private String holderOf(int partition) {
        List<String> order = List.copyOf(members);
        return order.get((partition + rotation) % order.size());
    }

    /** Reassigns each partition to the next member. */
    synchronized void rebalance() {
        generation++;
        rotation++;
    }

    @Override
    public synchronized Set<String> members() {
        Set<String> holders = new HashSet<>();
        for (int partition = 0; partition < partitions && !members.isEmpty(); partition++) {
            holders.add(holderOf(partition));
        }
        return holders;
    }

    @Override
    public synchronized void leave(String member) {
        if (members.remove(member)) {
            generation++;
        }
    }
}
