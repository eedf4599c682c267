package org.chestnutbarrow.placement;

import java.time.Duration;

/**
 * Decides when attempts at a worker that no heard daemon reports as held must have lapsed. A daemon that is not heard
 * may hold the worker and renew its tasks. Safe for use by several threads; guarded by its own monitor.
 *
 * <p>With {@link Contact#ALL} nobody can hold the worker unheard, so only the task lease has to run out. With {@link
 * Contact#MAJORITY} an unheard holder stops the attempts of an owner that has not answered its heartbeats for 8 s.
 * It may go on only if a majority of the daemons has not heard the owner for 5 s, and then the owner has no majority.
 *
 * <pre>{@code
 * rule.sample(contact, now);
 * boolean lapsed = rule.lapsed(unheldSince, now);
 * }</pre>
 */
public final class LapseRule {
    /** The task lease of 3.5 s, 10% for clocks that run at different speeds, and 0.5 s for the next heartbeat. */
    static final long ALL_NANOS = Timing.LEASE_LAPSE + Duration.ofMillis(500).toNanos();

    /**
     * The 8.5 s of the first holder and the 4.5 s of one that takes over from it, each plus 10%, then the task lease plus
     * 10%, rounded up.
     */
    static final long MAJORITY_NANOS = Duration.ofSeconds(20).toNanos();

    /** Contact is not known between two samples that lie further apart, so a pause restarts both clocks. */
    private static final long MAX_GAP = Duration.ofMillis(500).toNanos();

    private boolean sampled;
    private long newest;
    private Contact contact = Contact.MINORITY;
    private long allSince;
    private long majoritySince;

    /** Takes the contact at a monotonic time in nanoseconds. */
    public synchronized void sample(Contact now, long nanos) {
        boolean gap = !sampled || nanos - newest > MAX_GAP;
        if (gap || contact != Contact.ALL) {
            allSince = nanos;
        }
        if (gap || contact == Contact.MINORITY) {
            majoritySince = nanos;
        }
        sampled = true;
        newest = nanos;
        contact = now;
    }

    /** Whether attempts at a worker that was last reported as held at {@code unheldSince} have lapsed. */
    public synchronized boolean lapsed(long unheldSince, long now) {
        if (!sampled || now - newest > MAX_GAP) {
            return false;
        }
        return switch (contact) {
            case ALL ->
                passed(unheldSince, allSince, now, ALL_NANOS)
                        || passed(unheldSince, majoritySince, now, MAJORITY_NANOS);
            case MAJORITY -> passed(unheldSince, majoritySince, now, MAJORITY_NANOS);
            case MINORITY -> false;
        };
    }

    private static boolean passed(long unheldSince, long contactSince, long now, long time) {
        return now - unheldSince >= time && now - contactSince >= time;
    }
}
