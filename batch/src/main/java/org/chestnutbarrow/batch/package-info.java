/**
 * Scheduling of batch jobs on workers. The package contains decisions only: callers provide the clock, the threads, the
 * storage and the message encodings.
 */
package org.chestnutbarrow.batch;
