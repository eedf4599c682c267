package org.chestnutbarrow.node;

import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.batch.WorkerEntry;

/** Decodes what operators and workers write. Implementations are stateless. */
public interface RecordCodec {
    /** The declarations in the newest records; records that cannot be read leave {@code before} in force. */
    ControlState control(Map<String, byte[]> records, ControlState before);

    /** A worker's entry; empty if it cannot be read or names no usable worker. */
    Optional<WorkerEntry> worker(String key, byte[] value);
}
