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

/** A store in memory that can refuse calls, lose answers and forget history. Safe for use by several threads. */
final class FakeStore implements StateStore {
    /** What happens to appends. */
    enum Fault {
        NONE,
        REFUSES,
        /** Appends are done and not answered. */
        LOSES_ANSWERS,
        /** Appends are not answered and done only by {@link FakeStore#doLate()}. */
        DELAYS
    }

    private record Late(Topic topic, List<Entry> entries, Writer writer) {}

    private final List<Late> late = new ArrayList<>();
    private final Map<Topic, List<Entry>> topics = new EnumMap<>(Topic.class);
    private final Map<String, Writer> writers = new HashMap<>();
    private final Map<Writer, Long> answers = new HashMap<>();
    private final Set<String> members = new LinkedHashSet<>();
    private final AtomicReference<Runnable> duringJoin = new AtomicReference<>(() -> {});
    private final int parts;
    private long generation;
    private int firstHolder;
    private long firstKept;
    private Fault fault = Fault.NONE;
    private Duration lastTimeout = Duration.ZERO;
    private final Set<Topic> refused = EnumSet.noneOf(Topic.class);
    private final Map<Topic, Integer> reads = new EnumMap<>(Topic.class);
    private final Map<Topic, Integer> delivered = new EnumMap<>(Topic.class);
    private int refusedAfter = Integer.MAX_VALUE;
    private int refusedOnce;
    private volatile int pageKeys = Integer.MAX_VALUE;
    private volatile Duration readTime = Duration.ZERO;
    private volatile Optional<Consumer<Duration>> held = Optional.empty();

    FakeStore() {
        this(64);
    }

    /** Creates a store whose group deals out a number of parts. */
    FakeStore(int parts) {
        this.parts = parts;
    }

    /** Time-out of the last append. */
    synchronized Duration lastTimeout() {
        return lastTimeout;
    }

    synchronized void fault(Fault next) {
        fault = next;
    }

    /** Refuses to read these topics from now on, and no others. */
    synchronized void refuseReads(Set<Topic> topics) {
        refused.clear();
        refused.addAll(topics);
    }

    /** Refuses all reads of a topic after that many. */
    synchronized void refuseAfter(int count) {
        refusedAfter = count;
    }

    /** Refuses one read of a topic, counted from 1. */
    synchronized void refuseOnce(int number) {
        refusedOnce = number;
    }

    /** Each read takes this time from now on. */
    void readTime(Duration time) {
        readTime = time;
    }

    /** Takes the place of the time for which a read is held. */
    void whileHeld(Consumer<Duration> wait) {
        held = Optional.of(wait);
    }

    /** Holds a read until there is an entry, for {@code wait} at most. */
    private synchronized void hold(Topic topic, long from, Duration wait) {
        long end = System.nanoTime() + wait.toNanos();
        try {
            while (records(topic).size() <= from) {
                long left = Duration.ofNanos(end - System.nanoTime()).toMillis();
                if (left <= 0) {
                    return;
                }
                wait(left);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads of a topic so far. */
    synchronized int reads(Topic topic) {
        return reads.getOrDefault(topic, 0);
    }

    /** Entries of a topic that reads have returned so far. */
    synchronized int delivered(Topic topic) {
        return delivered.getOrDefault(topic, 0);
    }

    private synchronized void countRead(Topic topic) throws NotRunException {
        reads.merge(topic, 1, Integer::sum);
        int number = reads.get(topic);
        if (fault == Fault.REFUSES || refused.contains(topic) || number > refusedAfter || number == refusedOnce) {
            throw new NotRunException("refused", "try again");
        }
    }

    synchronized void forgetHistory() {
        firstKept = Long.MAX_VALUE;
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
            throws NotRunException, OutcomeUnknownException, StaleEpochException {
        lastTimeout = timeout;
        if (fault == Fault.REFUSES) {
            throw new NotRunException("refused", "try again");
        }
        if (fault == Fault.DELAYS) {
            late.add(new Late(topic, entries, writer));
            throw new OutcomeUnknownException("no answer", "repeat it");
        }
        Writer last = writers.get(writer.name());
        if (last != null && last.epoch() > writer.epoch()) {
            throw new StaleEpochException("writer", last.epoch());
        }
        Long answer = answers.get(writer);
        if (answer == null) {
            List<Entry> records = topics.computeIfAbsent(topic, _ -> new ArrayList<>());
            answer = (long) records.size();
            records.addAll(entries);
            notifyAll();
            answers.put(writer, answer);
            writers.put(writer.name(), writer);
        }
        if (fault == Fault.LOSES_ANSWERS) {
            throw new OutcomeUnknownException("no answer", "repeat it");
        }
        return answer;
    }

    /** Does the appends that were delayed, as far as no newer epoch of their writer exists. */
    synchronized void doLate() throws NotRunException, OutcomeUnknownException {
        List<Late> due = List.copyOf(late);
        late.clear();
        for (Late one : due) {
            try {
                append(one.topic(), one.entries(), one.writer(), Duration.ZERO);
            } catch (StaleEpochException e) {
                // The writer is not there any more to be told.
            }
        }
    }

    @Override
    public Page read(Topic topic, long from, Duration wait) throws NotRunException, OffsetOutOfRangeException {
        Pauses.sleep(readTime);
        countRead(topic);
        held.ifPresentOrElse(instead -> instead.accept(wait), () -> hold(topic, from, wait));
        return page(topic, from);
    }

    private synchronized Page page(Topic topic, long from) throws OffsetOutOfRangeException {
        List<Entry> records = records(topic);
        if (from < Math.min(firstKept, records.size())) {
            throw new OffsetOutOfRangeException(from);
        }
        List<StoredEntry> page = new ArrayList<>();
        for (int i = (int) from; i < records.size(); i++) {
            page.add(new StoredEntry(i, records.get(i)));
        }
        delivered.merge(topic, page.size(), Integer::sum);
        return new Page(page, records.size(), records.size());
    }

    /** Keys of a page of newest values from now on. */
    void pageKeys(int keys) {
        pageKeys = keys;
    }

    /** Newest values of all keys, in the order of keys. */
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
        // The least key above another one is that key and a zero character.
        SortedMap<String, byte[]> left = values(topic).tailMap(after.isEmpty() ? "" : after + '\0');
        Map<String, byte[]> page = new HashMap<>();
        String last = after;
        for (Map.Entry<String, byte[]> value : left.entrySet()) {
            if (page.size() == pageKeys) {
                break;
            }
            last = value.getKey();
            page.put(last, value.getValue());
        }
        return new NewestPage(
                page, last, page.size() < left.size(), records(topic).size());
    }

    /** Runs something once while a call to join is under way. */
    void duringJoin(Runnable action) {
        duringJoin.set(action);
    }

    @Override
    public Membership join(String member, Duration ttl, long known) {
        duringJoin.getAndSet(() -> {}).run();
        return joined(member);
    }

    private synchronized Membership joined(String member) {
        if (members.add(member)) {
            generation++;
        }
        Set<Integer> held = new HashSet<>();
        for (int part = 0; part < parts; part++) {
            if (holder(part).equals(member)) {
                held.add(part);
            }
        }
        return new Membership(generation, held);
    }

    /** Parts go round the members, so that some hold none if there are more members than parts. */
    private String holder(int part) {
        List<String> order = List.copyOf(members);
        return order.get((part + firstHolder) % order.size());
    }

    /** Moves each part to the next member. */
    synchronized void dealAnew() {
        generation++;
        firstHolder++;
    }

    @Override
    public synchronized Set<String> members() {
        Set<String> holders = new HashSet<>();
        for (int part = 0; part < parts && !members.isEmpty(); part++) {
            holders.add(holder(part));
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
