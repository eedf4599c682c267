package org.chestnutbarrow.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.chestnutbarrow.batch.WorkerEntry;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.WorkerId;

/** The workers that are listed. Safe for use by several threads; guarded by the monitor of this object. */
final class WorkerTable implements TopicFollower.Listener {
    private final RecordCodec codec;
    private final Map<WorkerId, WorkerEntry> entries = new HashMap<>();
    private volatile Consumer<List<WorkerEntry>> onChange = _ -> {};
    private boolean changed;

    WorkerTable(RecordCodec codec) {
        this.codec = codec;
    }

    void onChange(Consumer<List<WorkerEntry>> listener) {
        onChange = listener;
    }

    synchronized List<WorkerEntry> all() {
        return List.copyOf(entries.values());
    }

    @Override
    public synchronized void replaced(StateStore.Snapshot snapshot) {
        entries.clear();
        changed = true;
        snapshot.values()
                .forEach((key, value) -> codec.worker(key, value).ifPresent(entry -> entries.put(entry.id(), entry)));
    }

    @Override
    public synchronized void changed(StateStore.Stored stored) {
        String key = stored.entry().key();
        Optional<WorkerEntry> entry = stored.entry().value().flatMap(value -> codec.worker(key, value));
        if (entry.isPresent()) {
            WorkerEntry before = entries.put(entry.get().id(), entry.get());
            if (!entry.get().equals(before)) {
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
                        before == null);
            }
        } else if (stored.entry().value().isEmpty() && remove(key)) {
            changed = true;
            Events.info("worker-unlisted", "worker", key);
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
    public void settled() {
        List<WorkerEntry> now;
        synchronized (this) {
            if (!changed) {
                return;
            }
            changed = false;
            now = all();
        }
        onChange.accept(now);
    }
}
