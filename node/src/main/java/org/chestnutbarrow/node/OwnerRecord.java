package org.chestnutbarrow.node;

/**
 * Who owns the workers, as stored.
 *
 * @param member the owner as a member of the group
 * @param token the token of its ownership
 */
record OwnerRecord(String member, long token) {}
