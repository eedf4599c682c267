/**
 * A scheduler node: stores submitted jobs, follows the topics of the store and, while it owns the workers, executes the
 * plans of {@link org.chestnutbarrow.batch.BatchScheduler}. Independent of the wire formats of callers, workers and the
 * store.
 */
package org.chestnutbarrow.node;
