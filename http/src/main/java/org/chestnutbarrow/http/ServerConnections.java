package org.chestnutbarrow.http;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.SequencedSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Tracks the open connections and requests in flight of a server. Thread-safe.
 *
 * <p>Invariant: the number of connections that are not being closed never exceeds the limit.
 */
final class ServerConnections {
    /** Time for a request that was in transit when draining started to be read, sufficient under load as well. */
    private static final Duration DRAIN_GRACE_PERIOD = Duration.ofMillis(300);

    private final int maxConnections;
    private final boolean evictsSilent;
    private final Set<Channel> openChannels = ConcurrentHashMap.newKeySet();
    /** Connections that have not carried a complete request, eldest first; guarded by its monitor. */
    private final SequencedSet<Channel> withoutRequest = new LinkedHashSet<>();
    /** Connections that are being closed and no longer count. */
    private final Set<Channel> evicted = ConcurrentHashMap.newKeySet();

    private final AtomicLong evictions = new AtomicLong();
    private final AtomicInteger connectionCount = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile boolean draining;
    private volatile boolean keepAliveDisabled;

    ServerConnections(int maxConnections, boolean evictsSilent) {
        this.maxConnections = maxConnections;
        this.evictsSilent = evictsSilent;
    }

    /** Adds a connection; returns whether it may stay open. */
    boolean add(Channel channel) {
        if (draining || (connectionCount.incrementAndGet() > maxConnections && !evictEldest())) {
            if (!draining) {
                connectionCount.decrementAndGet();
            }
            return false;
        }
        openChannels.add(channel);
        synchronized (withoutRequest) {
            withoutRequest.addLast(channel);
        }
        channel.closeFuture().addListener(done -> {
            openChannels.remove(channel);
            removeWithoutRequest(channel);
            if (!evicted.remove(channel)) {
                connectionCount.decrementAndGet();
            }
        });
        // Draining may have iterated over the open connections before this one was added.
        return !draining;
    }

    /**
     * Closes the connection that has been open longest without a complete request, so that connections of clients that
     * send nothing do not keep others out. Returns whether there is one.
     */
    private boolean evictEldest() {
        Channel eldest;
        synchronized (withoutRequest) {
            if (!evictsSilent || withoutRequest.isEmpty()) {
                return false;
            }
            eldest = withoutRequest.removeFirst();
            evicted.add(eldest);
        }
        evictions.incrementAndGet();
        connectionCount.decrementAndGet();
        eldest.close();
        return true;
    }

    /** Records that a connection has carried a complete request or was closed. */
    void removeWithoutRequest(Channel channel) {
        synchronized (withoutRequest) {
            withoutRequest.remove(channel);
        }
    }

    long evictions() {
        return evictions.get();
    }

    void requestStarted() {
        inFlight.incrementAndGet();
    }

    void requestEnded() {
        inFlight.decrementAndGet();
    }

    int inFlight() {
        return inFlight.get();
    }

    int openCount() {
        return openChannels.size();
    }

    /** Returns whether each response closes its connection, because the server is about to shut down. */
    boolean isKeepAliveDisabled() {
        return keepAliveDisabled || draining;
    }

    void disableKeepAlive() {
        keepAliveDisabled = true;
    }

    /**
     * Closes idle connections after {@link #DRAIN_GRACE_PERIOD}; until it is closed each one counts as a request in
     * flight.
     *
     * @param lastResponse sent on idle connections before they are closed; empty to close them without a response
     */
    void drain(Optional<HttpResponse> lastResponse) {
        draining = true;
        DrainEvent event = new DrainEvent(lastResponse);
        for (Channel channel : openChannels) {
            requestStarted();
            channel.eventLoop()
                    .schedule(() -> drain(channel, event), DRAIN_GRACE_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void drain(Channel channel, DrainEvent event) {
        if (channel.isActive()) {
            channel.pipeline().fireUserEventTriggered(event);
        } else {
            requestEnded();
        }
    }

    void closeAll() {
        draining = true;
        for (Channel channel : openChannels) {
            channel.close();
        }
    }

    /** Closes a connection once it is idle; its handler then calls {@link #requestEnded}. */
    record DrainEvent(Optional<HttpResponse> lastResponse) {}
}
