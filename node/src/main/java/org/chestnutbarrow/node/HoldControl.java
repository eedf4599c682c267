package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.concurrent.Semaphore;

/**
 * Adapts how an owner holds its workers to their number and to the capacity of its machine: at which interval, and
 * through relays or directly. Thread-safe; changes are made under its own lock.
 */
final class HoldControl {
    private final NodeCapacity capacity;
    private final RelayNetwork relays;
    private final Semaphore firstContacts;
    private volatile Duration wait = NodeCapacity.MIN_HOLD_WAIT;
    private volatile boolean relayed;
    /** Guarded by this object. */
    private int workerCount;
    /** Guarded by this object. */
    private boolean firstContactsRaised;

    HoldControl(NodeCapacity capacity, RelayNetwork relays) {
        this.capacity = capacity;
        this.relays = relays;
        this.firstContacts = new Semaphore(capacity.concurrentFirstContacts(), true);
    }

    /** Adapts to another number of workers. */
    synchronized void setWorkerCount(int count) {
        workerCount = count;
        adapt();
    }

    /** Adapts to a change of the relays. */
    synchronized void adapt() {
        relayed = relays.use(!capacity.bearsDirectHolds(workerCount));
        wait = relayed ? capacity.relayedHoldWait(workerCount) : capacity.holdWait(workerCount);
        if (relayed && !firstContactsRaised) {
            firstContactsRaised = true;
            firstContacts.release(capacity.concurrentRelayedFirstContacts() - capacity.concurrentFirstContacts());
        }
    }

    /** Returns how long a worker may delay the answer to a hold. */
    Duration answerDelay() {
        return wait;
    }

    /** Returns whether calls to workers are made by relays. */
    boolean relayed() {
        return relayed;
    }

    /** Limits how many workers are contacted for the first time at once; a contact takes one permit. */
    Semaphore firstContacts() {
        return firstContacts;
    }
}
