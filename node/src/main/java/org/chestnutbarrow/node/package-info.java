/**
 * A scheduler node: accepts jobs into the store, follows it, and, while it owns the workers, carries out what
 * {@link org.chestnutbarrow.batch.BatchScheduler} decides. Knows no wire format of the outside.
 */
package org.chestnutbarrow.node;
