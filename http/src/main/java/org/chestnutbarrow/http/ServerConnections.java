package org.chestnutbarrow.http;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open connections of a server. Safe for use by several threads.
 *
 * <p>Invariant: never holds more than the limit.
 */
final class ServerConnections {
    /** A request that a caller had sent when draining began is read within this time, also on a busy machine. */
    private static final Duration SETTLE = Duration.ofMillis(300);

    private final int limit;
    private final Set<Channel> open = ConcurrentHashMap.newKeySet();
    private final AtomicInteger count = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile boolean draining;
    private volatile boolean leaving;

    ServerConnections(int limit) {
        this.limit = limit;
    }

    boolean add(Channel channel) {
        if (draining || count.incrementAndGet() > limit) {
            if (!draining) {
                count.decrementAndGet();
            }
            return false;
        }
        open.add(channel);
        channel.closeFuture().addListener(done -> {
            open.remove(channel);
            count.decrementAndGet();
        });
        // Draining may have passed over the open connections before this one was added.
        return !draining;
    }

    void began() {
        inFlight.incrementAndGet();
    }

    void ended() {
        inFlight.decrementAndGet();
    }

    int inFlight() {
        return inFlight.get();
    }

    int open() {
        return open.size();
    }

    /** Whether each answer ends its connection, because the server stops soon. */
    boolean leaving() {
        return leaving || draining;
    }

    void leave() {
        leaving = true;
    }

    /** Tells idle connections to close after {@link #SETTLE}; until then each counts as in flight. */
    void drain() {
        draining = true;
        for (Channel channel : open) {
            began();
            channel.eventLoop().schedule(() -> endIdle(channel), SETTLE.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void endIdle(Channel channel) {
        ended();
        channel.pipeline().fireUserEventTriggered(DrainEvent.DRAIN);
    }

    void closeAll() {
        draining = true;
        for (Channel channel : open) {
            channel.close();
        }
    }

    /** Tells an idle connection to close. */
    enum DrainEvent {
        DRAIN
    }
}
