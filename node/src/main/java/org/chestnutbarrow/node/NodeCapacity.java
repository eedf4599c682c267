package org.chestnutbarrow.node;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/**
 * The processing and transmission capacity of the machine of a node, and how much of it the holds of an owner take.
 * Immutable.
 *
 * @param milliCores processing capacity; 0 if unknown
 * @param linkBytesPerSecond capacity of the network link in each direction; 0 if unknown
 */
public record NodeCapacity(int milliCores, long linkBytesPerSecond) {
    /** More than any machine has, and short enough to be parsed from a member id. */
    private static final int MAX_MILLI_CORES = 100_000_000;
    /** Shortest wait of a hold; interference is recognized from reports that arrive twice a second. */
    static final Duration MIN_HOLD_WAIT = Duration.ofMillis(500);
    /** Longest wait of a hold. Leases are extended with each hold and last 4 s. */
    static final Duration MAX_HOLD_WAIT = Duration.ofMillis(1200);
    /** Cost of a hold that the owner sends itself, as an HTTP request on a connection to the worker. */
    private static final HoldCost DIRECT = new HoldCost(250, 1000);
    /** Cost of a hold that a relay sends; the owner exchanges frames with the relay on one connection. */
    private static final HoldCost RELAYED = new HoldCost(100, 450);
    /** Part of the capacity that holds may take; orders, reads and appends need the rest. */
    private static final double HOLD_FRACTION = 0.25;
    /** One first contact takes about 2 ms of a whole core; 20 mCore bear one at a time without a visible delay. */
    private static final int MILLI_CORES_PER_FIRST_CONTACT = 20;

    private static final int MIN_FIRST_CONTACTS = 4;
    /** A contact through a relay costs the owner less than half as much and takes several times as long. */
    private static final int RELAYED_FIRST_CONTACTS_RATIO = 4;
    /** Below these, a takeover delays the calls of the node itself by more than a second. */
    private static final int WEAK_MILLI_CORES = 250;

    private static final long WEAK_LINK_BYTES_PER_SECOND = 625_000;
    /** Ratio of the membership timeout to the shortest that the store allows, so that one lost call is tolerated. */
    private static final double TTL_FACTOR = 1.5;
    /** The same for a weak machine, whose calls to join are late while it takes hold of the workers. */
    private static final double WEAK_TTL_FACTOR = 3;

    private static final int MAX_FIRST_CONTACTS = 64;

    /**
     * What one hold costs the owner.
     *
     * @param micros processor time of the call with its report, in microseconds of a whole core
     * @param bytes bytes of the call and its answer on the link, with about ten running tasks
     */
    private record HoldCost(double micros, double bytes) {}

    public NodeCapacity {
        Checks.require(
                milliCores >= 0 && milliCores <= MAX_MILLI_CORES,
                "the capacity of a node must be between 0 and 100000 cores");
        Checks.require(linkBytesPerSecond >= 0, "the capacity of a link must not be negative");
    }

    /** Returns how long the workers may delay their answers to holds if this node holds that many of them. */
    Duration holdWait(int workers) {
        return holdWait(workers, DIRECT);
    }

    /** Like {@link #holdWait(int)} for holds that relays send. */
    Duration relayedHoldWait(int workers) {
        return holdWait(workers, RELAYED);
    }

    /** Returns whether this node can send the holds of that many workers at the shortest interval itself. */
    boolean bearsDirectHolds(int workers) {
        return holdWait(workers).equals(MIN_HOLD_WAIT);
    }

    private Duration holdWait(int workers, HoldCost cost) {
        double millis = (double) MIN_HOLD_WAIT.toMillis();
        if (milliCores > 0) {
            // Microseconds of a whole core divided by thousandths of a core give milliseconds.
            millis = Math.max(millis, workers * cost.micros() / (HOLD_FRACTION * milliCores));
        }
        if (linkBytesPerSecond > 0) {
            millis = Math.max(millis, workers * cost.bytes() * 1e3 / (HOLD_FRACTION * (double) linkBytesPerSecond));
        }
        return Duration.ofMillis(Math.min((long) millis, MAX_HOLD_WAIT.toMillis()));
    }

    /** Returns the membership timeout of this node, given the shortest that the store allows. */
    Duration membershipTtl(Duration shortest) {
        boolean weak = (milliCores > 0 && milliCores < WEAK_MILLI_CORES)
                || (linkBytesPerSecond > 0 && linkBytesPerSecond < WEAK_LINK_BYTES_PER_SECOND);
        return Duration.ofMillis((long) ((weak ? WEAK_TTL_FACTOR : TTL_FACTOR) * shortest.toMillis()));
    }

    /** Returns how many workers an owner contacts for the first time at once. */
    int concurrentFirstContacts() {
        return milliCores == 0
                ? MIN_FIRST_CONTACTS
                : Math.clamp(milliCores / MILLI_CORES_PER_FIRST_CONTACT, MIN_FIRST_CONTACTS, MAX_FIRST_CONTACTS);
    }

    /** Like {@link #concurrentFirstContacts()} for contacts that relays make, which open the connections. */
    int concurrentRelayedFirstContacts() {
        return Math.min(RELAYED_FIRST_CONTACTS_RATIO * concurrentFirstContacts(), MAX_FIRST_CONTACTS);
    }
}
