package org.chestnutbarrow.http;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.chestnutbarrow.model.Address;

/**
 * A pool of open connections without an exchange, most recently used first. Thread-safe; the connections to each
 * address are guarded by the monitor of their deque.
 */
final class IdleConnections {
    private final Map<Address, Deque<Channel>> byAddress = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /** Removes and returns an open connection to the address, or returns null if there is none. */
    Channel take(Address address) {
        Deque<Channel> idle = byAddress.get(address);
        if (idle == null) {
            return null;
        }
        synchronized (idle) {
            Channel channel = idle.pollFirst();
            while (channel != null && !channel.isActive()) {
                channel = idle.pollFirst();
            }
            return channel;
        }
    }

    /** Removes the connection from the pool when it closes; called once for each connection. */
    void removeOnClose(Address address, Channel channel) {
        channel.closeFuture().addListener(done -> remove(address, channel));
    }

    void put(Address address, Channel channel) {
        Deque<Channel> idle = byAddress.computeIfAbsent(address, _ -> new ArrayDeque<>());
        synchronized (idle) {
            idle.addFirst(channel);
        }
        // The connection may have closed before it was added, in which case its removal found nothing to remove.
        if (closed || !channel.isActive()) {
            channel.close();
            remove(address, channel);
        }
    }

    void close(Address address) {
        Deque<Channel> idle = byAddress.get(address);
        if (idle == null) {
            return;
        }
        Channel channel = take(address);
        while (channel != null) {
            channel.close();
            channel = take(address);
        }
    }

    void closeAll() {
        closed = true;
        for (Address address : byAddress.keySet()) {
            close(address);
        }
    }

    private void remove(Address address, Channel channel) {
        Deque<Channel> idle = byAddress.get(address);
        if (idle == null) {
            return;
        }
        synchronized (idle) {
            idle.remove(channel);
        }
    }
}
