package org.chestnutbarrow.http;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.SequencedMap;

/**
 * Bounds the bytes of all requests that a server receives or handles. When they exceed the bound, the requests that have
 * been received for longest are refused: an ordinary client sends a request within milliseconds, so the eldest is one of
 * a client that sends slowly or has stopped. Thread-safe; guarded by its own monitor.
 *
 * <p>Invariant: the bytes of the requests that are not refused never exceed the bound.
 */
final class ReceiveBudget {
    /** The request of one connection. */
    interface Holder {
        /** Refuses the request, which is not handled. Called by any thread, without a lock. */
        void refuse();
    }

    private final long maxBytes;
    /** Bytes of the requests that are not complete, eldest first. */
    private final SequencedMap<Holder, Long> receiving = new LinkedHashMap<>();
    /** Bytes of the requests that are handled. */
    private final SequencedMap<Holder, Long> handled = new LinkedHashMap<>();

    private long bytes;
    private long refusals;

    ReceiveBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Counts received bytes of a holder, and refuses the eldest requests, or that of the holder, beyond the bound. */
    void add(Holder holder, long count) {
        List<Holder> refused = new ArrayList<>();
        synchronized (this) {
            bytes += count;
            if (handled.computeIfPresent(holder, (_, held) -> held + count) == null) {
                receiving.merge(holder, count, Long::sum);
            }
            while (bytes > maxBytes && !receiving.isEmpty()) {
                Holder eldest = receiving.firstEntry().getKey();
                remove(eldest);
                refused.add(eldest);
            }
            refusals += refused.size();
        }
        refused.forEach(Holder::refuse);
    }

    /** Records that the request of a holder is complete, so that it is no longer refused. */
    synchronized void completed(Holder holder) {
        Long held = receiving.remove(holder);
        if (held != null) {
            handled.put(holder, held);
        }
    }

    /** Releases the bytes of a holder, whose request was answered or given up. */
    synchronized void remove(Holder holder) {
        Long held = receiving.remove(holder);
        Long heldInHandling = handled.remove(holder);
        bytes -= (held == null ? 0 : held) + (heldInHandling == null ? 0 : heldInHandling);
    }

    synchronized long refusals() {
        return refusals;
    }
}
