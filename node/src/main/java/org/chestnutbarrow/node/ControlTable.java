package org.chestnutbarrow.node;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.chestnutbarrow.logging.Events;

/** The operator declarations in force. Safe for use by several threads; guarded by the monitor of this object. */
final class ControlTable implements TopicFollower.Listener {
    private final RecordCodec codec;
    private final Map<String, byte[]> records = new HashMap<>();
    private volatile ControlState state = ControlState.NONE;
    private volatile Consumer<ControlState> onChange = _ -> {};

    ControlTable(RecordCodec codec) {
        this.codec = codec;
    }

    void onChange(Consumer<ControlState> listener) {
        onChange = listener;
    }

    ControlState state() {
        return state;
    }

    @Override
    public synchronized void onSnapshot(StateStore.Snapshot snapshot) {
        records.clear();
        records.putAll(snapshot.values());
    }

    @Override
    public synchronized void onEntry(StateStore.StoredEntry stored) {
        stored.entry()
                .value()
                .ifPresentOrElse(
                        value -> records.put(stored.entry().key(), value),
                        () -> records.remove(stored.entry().key()));
    }

    /** Decodes the records; the state in force stays if that fails. */
    private ControlState decode() {
        try {
            return codec.decodeControl(records, state);
        } catch (RuntimeException | StackOverflowError e) {
            Events.warn("record-unreadable", "topic", StateStore.Topic.CONTROL, "key", "", "cause", e);
            return state;
        }
    }

    @Override
    public void onPageApplied() {
        ControlState latest;
        synchronized (this) {
            latest = decode();
            if (latest.equals(state)) {
                return;
            }
            state = latest;
        }
        Events.info(
                "control-changed",
                "version",
                latest.version(),
                "queues",
                latest.queues().size(),
                "accounts",
                latest.access().accounts().size(),
                "keys",
                latest.access().accountsByKey().size(),
                "out",
                latest.evacuatedZones());
        onChange.accept(latest);
    }
}
