package org.chestnutbarrow.peer;

import io.netty.channel.Channel;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import org.chestnutbarrow.model.DaemonId;

/**
 * Tracks the accepted connections and dispatches their messages to the handler. Thread-safe.
 *
 * <p>Invariant: each peer has at most one accepted connection; a new connection replaces and closes the previous one.
 */
final class IncomingConnections {
    private static final Logger log = System.getLogger(IncomingConnections.class.getName());

    private final PeerHandler handler;
    private final Executor executor;
    private final Predicate<DaemonId> configured;
    private final Map<DaemonId, Channel> channels = new ConcurrentHashMap<>();
    private final Map<DaemonId, SerialExecutor> messageExecutors = new ConcurrentHashMap<>();

    IncomingConnections(PeerHandler handler, Executor executor, Predicate<DaemonId> configured) {
        this.handler = handler;
        this.executor = executor;
        this.configured = configured;
    }

    boolean isConfigured(DaemonId peer) {
        return configured.test(peer);
    }

    /** Registers an authenticated connection; returns the executor for one-way messages of the peer. */
    SerialExecutor register(DaemonId peer, Channel channel) {
        Channel previous = channels.put(peer, channel);
        if (previous != null) {
            previous.close();
        }
        log.log(Level.INFO, () -> "event=peer-accepted peer=" + peer);
        return messageExecutors.computeIfAbsent(peer, _ -> new SerialExecutor(executor));
    }

    void unregister(DaemonId peer, Channel channel) {
        channels.remove(peer, channel);
    }

    void execute(Runnable task) {
        executor.execute(task);
    }

    void receive(DaemonId peer, PeerMessage message) {
        try {
            handler.receive(peer, message);
        } catch (RuntimeException | Error e) {
            log.log(Level.ERROR, () -> "event=message-failed peer=" + peer, e);
        }
    }

    /** Handles a request and returns the encoded response. */
    byte[] handle(DaemonId peer, PeerCodec.Frame request) {
        PeerMessage response;
        try {
            response = handler.handle(peer, request.message());
            byte[] frame = PeerCodec.encode(request.correlationId(), response);
            if (frame.length <= PeerCodec.MAX_FRAME_BYTES) {
                return frame;
            }
            response = new PeerMessage.Failure("answer is longer than " + PeerCodec.MAX_FRAME_BYTES + " bytes");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            response = new PeerMessage.Failure("the peer stops");
        } catch (Exception | Error e) {
            log.log(Level.ERROR, () -> "event=request-failed peer=" + peer, e);
            response = new PeerMessage.Failure(String.valueOf(e.getMessage()));
        }
        return PeerCodec.encode(request.correlationId(), response);
    }
}
