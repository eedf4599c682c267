package org.chestnutbarrow.node;

import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.batch.WorkerRegistration;

/** Decodes the records that operators and workers write to the store. Implementations are stateless. */
public interface RecordCodec {
    /** Decodes the declarations in the newest records; unreadable records leave {@code current} in effect. */
    ControlState decodeControl(Map<String, byte[]> records, ControlState current);

    /** Decodes the entry of a worker; empty if it is unreadable or does not describe a usable worker. */
    Optional<WorkerRegistration> decodeWorker(String key, byte[] value);
}
