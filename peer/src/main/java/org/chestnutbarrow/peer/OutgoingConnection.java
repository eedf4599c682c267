package org.chestnutbarrow.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/**
 * The connection to one peer, with the calls that wait for its answers. Safe for use by several threads; all state is
 * guarded by its own lock, which is never held while waiting.
 *
 * <p>Invariants: never more than {@link #MAX_CALLS} calls wait and never more than {@link #MAX_UNWRITTEN_BYTES} bytes are
 * to be written; frames are written in the order in which they were given; a frame is never written twice.
 */
final class OutgoingConnection {
    /** Most calls that wait for an answer. */
    static final int MAX_CALLS = 1024;

    /** Most bytes of frames that are not written yet. */
    static final long MAX_UNWRITTEN_BYTES = 8L * 1024 * 1024;

    private static final Logger log = System.getLogger(OutgoingConnection.class.getName());
    private static final long MIN_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 2_000;
    private static final int MAX_DOUBLINGS = 10;

    private final DaemonId peer;
    private final Bootstrap bootstrap;
    private final Traffic sent;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<Long, PendingCall> calls = new HashMap<>();
    private final Queue<Outbound> queue = new ArrayDeque<>();
    private State state = new State.Unused();
    private Address address;
    private long lastCorrelation = PeerCodec.NO_ANSWER;
    private long unwrittenBytes;
    private int failures;

    /** Where the connection stands. */
    private sealed interface State {
        /** No message has been sent yet. */
        record Unused() implements State {}

        /** Frames are queued until the handshake is complete. */
        record Connecting() implements State {}

        /** Frames are written. */
        record Ready(Channel channel) implements State {}

        /** Waits for the next attempt to connect; frames are refused. */
        record BackingOff() implements State {}

        /** The link was closed. */
        record Closed() implements State {}
    }

    /** A frame to write; {@code call} is null for a message without an answer. */
    private record Outbound(byte[] frame, PendingCall call) {}

    OutgoingConnection(DaemonId peer, Address address, Bootstrap bootstrap, Traffic sent) {
        this.peer = peer;
        this.address = address;
        this.bootstrap = bootstrap;
        this.sent = sent;
    }

    DaemonId peer() {
        return peer;
    }

    /** Sets where the peer is reached; an open connection to another address is closed. */
    void moveTo(Address newAddress) {
        lock.lock();
        try {
            boolean moved = !newAddress.equals(address);
            address = newAddress;
            if (moved && state instanceof State.Ready(Channel channel)) {
                channel.close();
            }
        } finally {
            lock.unlock();
        }
    }

    PeerMessage call(PeerMessage request, Duration timeout) throws NotRunException, OutcomeUnknownException {
        long end = System.nanoTime() + timeout.toNanos();
        PendingCall call = new PendingCall(peer);
        long correlation = register(call);
        try {
            byte[] frame = PeerCodec.encode(correlation, request);
            if (frame.length > PeerCodec.MAX_FRAME_BYTES) {
                throw PendingCall.notRun(peer, "message is longer than " + PeerCodec.MAX_FRAME_BYTES + " bytes");
            }
            String refusal = submit(new Outbound(frame, call));
            if (refusal != null) {
                throw PendingCall.notRun(peer, refusal);
            }
            return call.result().get(end - System.nanoTime(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            call.fail("timeout");
            throw call.failure("no answer within " + timeout.toMillis() + " ms");
        } catch (InterruptedException e) {
            call.fail("interrupted");
            Thread.currentThread().interrupt();
            throw call.failure("the wait was interrupted");
        } catch (ExecutionException e) {
            throw call.failure(e.getCause().getMessage());
        } finally {
            forget(correlation);
        }
    }

    /** Sends a message without an answer; returns why it was dropped, or null if it was taken. */
    String send(PeerMessage message) {
        byte[] frame = PeerCodec.encode(PeerCodec.NO_ANSWER, message);
        if (frame.length > PeerCodec.MAX_FRAME_BYTES) {
            return "message is longer than " + PeerCodec.MAX_FRAME_BYTES + " bytes";
        }
        return submit(new Outbound(frame, null));
    }

    /** The handshake is complete: writes what was queued. */
    void ready(Channel channel) {
        lock.lock();
        try {
            if (!(state instanceof State.Connecting)) {
                channel.close();
                return;
            }
            failures = 0;
            state = new State.Ready(channel);
            queue.forEach(outbound -> write(channel, outbound));
            queue.clear();
        } finally {
            lock.unlock();
        }
    }

    /** Hands an answer to its call; an answer that comes too late is dropped. */
    void answered(PeerCodec.Frame frame) {
        PendingCall call;
        lock.lock();
        try {
            call = calls.remove(frame.correlation());
        } finally {
            lock.unlock();
        }
        if (call != null) {
            call.result().complete(frame.message());
        }
    }

    /** The connection, or the attempt to make one, has ended: all calls fail and the next attempt is scheduled. */
    void lost(String why) {
        List<PendingCall> failed;
        lock.lock();
        try {
            if (!(state instanceof State.Closed)) {
                log.log(Level.INFO, () -> "event=peer-lost peer=" + peer + " reason=\"" + why + "\"");
                state = new State.BackingOff();
                scheduleConnect();
            }
            failed = new ArrayList<>(calls.values());
            calls.clear();
            queue.forEach(outbound -> unwrittenBytes -= outbound.frame().length);
            queue.clear();
        } finally {
            lock.unlock();
        }
        failed.forEach(call -> call.fail(why));
    }

    void close() {
        lock.lock();
        try {
            State last = state;
            state = new State.Closed();
            if (last instanceof State.Ready(Channel channel)) {
                channel.close();
            }
        } finally {
            lock.unlock();
        }
        lost("the link was closed");
    }

    private long register(PendingCall call) throws NotRunException {
        lock.lock();
        try {
            if (calls.size() >= MAX_CALLS) {
                throw PendingCall.notRun(peer, MAX_CALLS + " calls wait already");
            }
            lastCorrelation++;
            calls.put(lastCorrelation, call);
            return lastCorrelation;
        } finally {
            lock.unlock();
        }
    }

    private void forget(long correlation) {
        lock.lock();
        try {
            calls.remove(correlation);
        } finally {
            lock.unlock();
        }
    }

    /** Queues or writes a frame; returns why it was refused, or null. */
    private String submit(Outbound outbound) {
        lock.lock();
        try {
            if (unwrittenBytes + outbound.frame().length > MAX_UNWRITTEN_BYTES) {
                return "too many bytes wait to be written";
            }
            return switch (state) {
                case State.Unused() -> {
                    enqueue(outbound);
                    connect();
                    yield null;
                }
                case State.Connecting() -> {
                    enqueue(outbound);
                    yield null;
                }
                case State.Ready(Channel channel) -> {
                    unwrittenBytes += outbound.frame().length;
                    write(channel, outbound);
                    yield null;
                }
                case State.BackingOff() -> "the peer cannot be reached";
                case State.Closed() -> "the link is closed";
            };
        } catch (RejectedExecutionException e) {
            return "the link is closed";
        } finally {
            lock.unlock();
        }
    }

    private void enqueue(Outbound outbound) {
        queue.add(outbound);
        unwrittenBytes += outbound.frame().length;
    }

    /** Hands the frame to the event loop; the order of these calls is the order on the wire. */
    private void write(Channel channel, Outbound outbound) {
        channel.eventLoop().execute(() -> {
            PendingCall call = outbound.call();
            if (!channel.isActive() || (call != null && !call.startWriting())) {
                written(outbound);
                return;
            }
            Frames.write(channel, outbound.frame(), sent).addListener(done -> written(outbound));
        });
    }

    private void written(Outbound outbound) {
        lock.lock();
        try {
            unwrittenBytes -= outbound.frame().length;
        } finally {
            lock.unlock();
        }
    }

    private void connect() {
        state = new State.Connecting();
        ChannelFuture connecting = bootstrap.connect(new InetSocketAddress(address.ip(), address.port()));
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                lost(String.valueOf(done.cause().getMessage()));
            }
        });
    }

    /** Half of the delay is random, so that the peers of a daemon that returns do not all connect at once. */
    private void scheduleConnect() {
        long longest = Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        long delay = longest / 2 + ThreadLocalRandom.current().nextLong(longest / 2 + 1);
        try {
            bootstrap.config().group().schedule(this::reconnect, delay, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            state = new State.Closed();
        }
    }

    private void reconnect() {
        lock.lock();
        try {
            if (state instanceof State.BackingOff) {
                connect();
            }
        } finally {
            lock.unlock();
        }
    }
}
