package org.chestnutbarrow.daemon;

import org.chestnutbarrow.catalog.ApplyResult;
import org.chestnutbarrow.model.LogRecord;

/**
 * A record that was read from the log and applied. Immutable.
 *
 * @param offset its position in the log
 * @param id the record's own id
 * @param record the record
 * @param result what became of it
 */
record AppliedRecord(long offset, String id, LogRecord record, ApplyResult result) {}
