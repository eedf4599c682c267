package org.chestnutbarrow.daemon;

import org.chestnutbarrow.catalog.ApplyResult;
import org.chestnutbarrow.model.LogRecord;

/**
 * A record that was read from the log and applied to the catalog. Immutable.
 *
 * @param offset the offset of the record in the log
 * @param id the id that the writer gave the record
 * @param record the record
 * @param result the effect of the record on the catalog
 */
record AppliedRecord(long offset, String id, LogRecord record, ApplyResult result) {}
