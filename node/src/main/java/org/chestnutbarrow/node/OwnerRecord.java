package org.chestnutbarrow.node;

/**
 * The owner of the workers as recorded in the store.
 *
 * @param member id of the owner in the group
 * @param token fencing token of the term
 * @param relayKey secret with which the owner proves itself to relays; empty if it uses none
 */
record OwnerRecord(String member, long token, String relayKey) {
    /** Creates the record of an owner without relays. */
    OwnerRecord(String member, long token) {
        this(member, token, "");
    }
}
