package org.chestnutbarrow.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.WorkerId;

/**
 * The current worker list. Safe for use by several threads; guarded by the monitor of this object.
 *
 * <p>Invariant: an entry that cannot be read changes nothing, so that the entry of its worker before it holds.
 */
final class WorkerTable implements TopicFollower.Listener {
    private final RecordCodec codec;
    private final Map<WorkerId, WorkerRegistration> entries = new HashMap<>();
    private volatile Consumer<List<WorkerRegistration>> onChange = _ -> {};
    private boolean changed;

    WorkerTable(RecordCodec codec) {
        this.codec = codec;
    }

    void onChange(Consumer<List<WorkerRegistration>> listener) {
        onChange = listener;
    }

    synchronized List<WorkerRegistration> all() {
        return List.copyOf(entries.values());
    }

    @Override
    public synchronized void onSnapshot(StateStore.Snapshot snapshot) {
        // The entry before one that cannot be read holds.
        entries.keySet().removeIf(id -> !snapshot.values().containsKey(id.value()));
        changed = true;
        snapshot.values()
                .forEach((key, value) -> decode(key, value).ifPresent(entry -> entries.put(entry.id(), entry)));
    }

    @Override
    public synchronized void onEntry(StateStore.StoredEntry stored) {
        String key = stored.entry().key();
        Optional<WorkerRegistration> entry = stored.entry().value().flatMap(value -> decode(key, value));
        if (entry.isPresent()) {
            WorkerRegistration previous = entries.put(entry.get().id(), entry.get());
            if (!entry.get().equals(previous)) {
                changed = true;
                Events.info(
                        "worker-entry",
                        "worker",
                        entry.get().id(),
                        "born",
                        entry.get().incarnation(),
                        "leaving",
                        entry.get().draining(),
                        "new",
                        previous == null);
            }
        } else if (stored.entry().value().isEmpty() && remove(key)) {
            changed = true;
            Events.info("worker-unlisted", "worker", key);
        }
    }

    /** Any process can write entries, so one that cannot be read must not keep the others from being applied. */
    private Optional<WorkerRegistration> decode(String key, byte[] value) {
        try {
            return codec.decodeWorker(key, value);
        } catch (RuntimeException | StackOverflowError e) {
            Events.warn("record-unreadable", "topic", StateStore.Topic.WORKERS, "key", key, "cause", e);
            return Optional.empty();
        }
    }

    private boolean remove(String key) {
        try {
            return entries.remove(new WorkerId(key)) != null;
        } catch (IllegalArgumentException e) {
            Events.warn("record-unreadable", "topic", StateStore.Topic.WORKERS, "key", key, "cause", e.getMessage());
            return false;
        }
    }

    @Override
    public void onPageApplied() {
        List<WorkerRegistration> current;
        synchronized (this) {
            if (!changed) {
                return;
            }
            changed = false;
            current = all();
        }
        onChange.accept(current);
    }
}
