package org.chestnutbarrow.http;

import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A listening channel that accepts the connections of its backlog before it closes. Thread-safe.
 *
 * <p>Invariant: when the result of {@link #closeAfterBacklog()} completes, the socket is closed and refuses connections.
 *
 * <p>NIO closes the socket of a channel that is registered with a selector only in the next select, and the system
 * resets the connections that the backlog holds then. The channel is therefore deregistered first.
 */
final class ListenerChannel extends NioServerSocketChannel {
    private static final Logger log = System.getLogger(ListenerChannel.class.getName());

    private final int backlog;

    ListenerChannel(int backlog) {
        this.backlog = backlog;
    }

    /**
     * Accepts the connections of the backlog and closes the socket. The accepted connections are passed to the event
     * loops before the result completes.
     */
    ChannelPromise closeAfterBacklog() {
        ChannelPromise closed = newPromise();
        deregister().addListener(done -> closeWhenDeregistered(closed));
        return closed;
    }

    /** An event loop runs a scheduled task only after a further select, which completes the deregistration. */
    private void closeWhenDeregistered(ChannelPromise closed) {
        if (isOpen() && javaChannel().isRegistered()) {
            eventLoop().schedule(() -> closeWhenDeregistered(closed), 0, TimeUnit.NANOSECONDS);
            return;
        }
        if (isOpen()) {
            acceptBacklog();
        }
        close(closed);
    }

    /** Bounded by the length of the backlog, so that arriving connections cannot postpone the close indefinitely. */
    private void acceptBacklog() {
        List<Object> accepted = new ArrayList<>();
        try {
            while (accepted.size() < backlog && doReadMessages(accepted) > 0) {
                // Each call adds one connection.
            }
        } catch (Exception e) {
            log.log(
                    Level.WARNING,
                    () -> "event=accept-failed cause=" + NettyConversions.quote(String.valueOf(e.getMessage())));
        }
        accepted.forEach(pipeline()::fireChannelRead);
    }
}
