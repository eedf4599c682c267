package org.chestnutbarrow.catalog;

import java.time.Instant;
import org.chestnutbarrow.model.DaemonId;

/**
 * The first receipt of a request id. Immutable.
 *
 * @param requestId id of the request
 * @param time time contained in the id, or time at which the receipt was taken if the id contains none
 * @param daemon daemon that may send the request
 * @param incarnation incarnation of that daemon's process
 * @param offset offset of the log record of the receipt
 */
public record ReceiptState(String requestId, Instant time, DaemonId daemon, long incarnation, long offset) {}
