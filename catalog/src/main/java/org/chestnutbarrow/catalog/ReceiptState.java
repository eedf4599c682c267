package org.chestnutbarrow.catalog;

import java.time.Instant;
import org.chestnutbarrow.model.DaemonId;

/**
 * The first receipt of a request id. Immutable.
 *
 * @param requestId the request's id
 * @param time time in the id, or time at which it was taken if the id has none
 * @param daemon daemon that may send the request
 * @param incarnation that daemon's process
 * @param offset offset of the record that made it
 */
public record ReceiptState(String requestId, Instant time, DaemonId daemon, long incarnation, long offset) {}
