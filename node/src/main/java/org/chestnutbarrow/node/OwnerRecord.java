package org.chestnutbarrow.node;

/**
 * The owner of the workers as recorded in the store.
 *
 * @param member id of the owner in the group
 * @param token fencing token of the term
 */
record OwnerRecord(String member, long token) {}
