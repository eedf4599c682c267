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
 * The accepted connections and what is done with their messages. Safe for use by several threads.
 *
 * <p>Invariant: a peer has one accepted connection; a newer one closes the older.
 */
final class IncomingPeers {
    private static final Logger log = System.getLogger(IncomingPeers.class.getName());

    private final PeerHandler handler;
    private final Executor executor;
    private final Predicate<DaemonId> known;
    private final Map<DaemonId, Channel> channels = new ConcurrentHashMap<>();
    private final Map<DaemonId, Inbox> inboxes = new ConcurrentHashMap<>();

    IncomingPeers(PeerHandler handler, Executor executor, Predicate<DaemonId> known) {
        this.handler = handler;
        this.executor = executor;
        this.known = known;
    }

    boolean known(DaemonId peer) {
        return known.test(peer);
    }

    /** Registers an authenticated connection; returns where messages without an answer go. */
    Inbox accepted(DaemonId peer, Channel channel) {
        Channel older = channels.put(peer, channel);
        if (older != null) {
            older.close();
        }
        log.log(Level.INFO, () -> "event=peer-accepted peer=" + peer);
        return inboxes.computeIfAbsent(peer, _ -> new Inbox(executor));
    }

    void ended(DaemonId peer, Channel channel) {
        channels.remove(peer, channel);
    }

    void execute(Runnable work) {
        executor.execute(work);
    }

    void receive(DaemonId peer, PeerMessage message) {
        try {
            handler.receive(peer, message);
        } catch (RuntimeException | Error e) {
            log.log(Level.ERROR, () -> "event=message-failed peer=" + peer, e);
        }
    }

    /** The frame of the answer. */
    byte[] answer(DaemonId peer, PeerCodec.Frame request) {
        PeerMessage answer;
        try {
            answer = handler.answer(peer, request.message());
            byte[] frame = PeerCodec.encode(request.correlation(), answer);
            if (frame.length <= PeerCodec.MAX_FRAME_BYTES) {
                return frame;
            }
            answer = new PeerMessage.Failure("answer is longer than " + PeerCodec.MAX_FRAME_BYTES + " bytes");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            answer = new PeerMessage.Failure("the peer stops");
        } catch (Exception | Error e) {
            log.log(Level.ERROR, () -> "event=request-failed peer=" + peer, e);
            answer = new PeerMessage.Failure(String.valueOf(e.getMessage()));
        }
        return PeerCodec.encode(request.correlation(), answer);
    }
}
