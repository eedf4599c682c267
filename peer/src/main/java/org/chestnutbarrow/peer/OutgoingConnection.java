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
 * The connection to one peer and the calls that wait for its responses. Thread-safe; all state is guarded by one lock,
 * which is never held while blocking.
 *
 * <p>Invariants: at most {@link #MAX_PENDING_CALLS} calls are pending and at most {@link #MAX_UNWRITTEN_BYTES} bytes
 * are unwritten; frames are written in the order in which they were submitted; a frame is never written twice.
 */
final class OutgoingConnection {
    /** Maximum number of calls that wait for a response. */
    static final int MAX_PENDING_CALLS = 1024;

    /** Maximum total size of the frames that are not written yet. */
    static final long MAX_UNWRITTEN_BYTES = 8L * 1024 * 1024;

    private static final Logger log = System.getLogger(OutgoingConnection.class.getName());
    private static final long MIN_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 2_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 10;

    private final DaemonId peer;
    private final Bootstrap bootstrap;
    private final TrafficCounter sent;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<Long, PendingCall> calls = new HashMap<>();
    private final Queue<Outbound> unsent = new ArrayDeque<>();
    private State state = new State.NotConnected();
    private Address address;
    private long lastCorrelationId = PeerCodec.NO_RESPONSE;
    private long unwrittenBytes;
    private int failedAttempts;

    /** The state of the connection. */
    private sealed interface State {
        /** No message has been sent yet. */
        record NotConnected() implements State {}

        /** Connecting or in the handshake; frames are queued. */
        record Connecting() implements State {}

        /** Authenticated; frames are written immediately. */
        record Ready(Channel channel) implements State {}

        /** Waiting for the next connection attempt; frames are rejected. */
        record BackingOff() implements State {}

        /** The link was closed. */
        record Closed() implements State {}
    }

    /** A frame to write; {@code call} is null for a one-way message. */
    private record Outbound(byte[] frame, PendingCall call) {}

    OutgoingConnection(DaemonId peer, Address address, Bootstrap bootstrap, TrafficCounter sent) {
        this.peer = peer;
        this.address = address;
        this.bootstrap = bootstrap;
        this.sent = sent;
    }

    DaemonId peer() {
        return peer;
    }

    /** Sets the address of the peer; an open connection to a different address is closed. */
    void updateAddress(Address newAddress) {
        lock.lock();
        try {
            boolean changed = !newAddress.equals(address);
            address = newAddress;
            if (changed && state instanceof State.Ready(Channel channel)) {
                channel.close();
            }
        } finally {
            lock.unlock();
        }
    }

    PeerMessage call(PeerMessage request, Duration timeout) throws NotRunException, OutcomeUnknownException {
        long deadline = System.nanoTime() + timeout.toNanos();
        PendingCall call = new PendingCall(peer);
        long correlationId = register(call);
        try {
            byte[] frame = PeerCodec.encode(correlationId, request);
            if (frame.length > PeerCodec.MAX_FRAME_BYTES) {
                throw PendingCall.notRun(peer, "message is longer than " + PeerCodec.MAX_FRAME_BYTES + " bytes");
            }
            String rejection = submit(new Outbound(frame, call));
            if (rejection != null) {
                throw PendingCall.notRun(peer, rejection);
            }
            return call.result().get(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            call.fail("timeout");
            throw call.toException("no response within " + timeout.toMillis() + " ms");
        } catch (InterruptedException e) {
            call.fail("interrupted");
            Thread.currentThread().interrupt();
            throw call.toException("the wait was interrupted");
        } catch (ExecutionException e) {
            throw call.toException(e.getCause().getMessage());
        } finally {
            unregister(correlationId);
        }
    }

    /** Sends a one-way message; returns the reason why it was dropped, or null if it was accepted. */
    String send(PeerMessage message) {
        byte[] frame = PeerCodec.encode(PeerCodec.NO_RESPONSE, message);
        if (frame.length > PeerCodec.MAX_FRAME_BYTES) {
            return "message is longer than " + PeerCodec.MAX_FRAME_BYTES + " bytes";
        }
        return submit(new Outbound(frame, null));
    }

    /** Called when the handshake is complete; writes the queued frames. */
    void onReady(Channel channel) {
        lock.lock();
        try {
            if (!(state instanceof State.Connecting)) {
                channel.close();
                return;
            }
            failedAttempts = 0;
            state = new State.Ready(channel);
            unsent.forEach(outbound -> write(channel, outbound));
            unsent.clear();
        } finally {
            lock.unlock();
        }
    }

    /** Completes the call that a response belongs to; a late response is dropped. */
    void complete(PeerCodec.Frame frame) {
        PendingCall call;
        lock.lock();
        try {
            call = calls.remove(frame.correlationId());
        } finally {
            lock.unlock();
        }
        if (call != null) {
            call.result().complete(frame.message());
        }
    }

    /** Called when the connection or a connection attempt has failed; fails all calls and schedules a reconnect. */
    void onDisconnected(String reason) {
        List<PendingCall> failed;
        lock.lock();
        try {
            if (!(state instanceof State.Closed)) {
                log.log(Level.INFO, () -> "event=peer-lost peer=" + peer + " reason=\"" + reason + "\"");
                state = new State.BackingOff();
                scheduleConnect();
            }
            failed = new ArrayList<>(calls.values());
            calls.clear();
            unsent.forEach(outbound -> unwrittenBytes -= outbound.frame().length);
            unsent.clear();
        } finally {
            lock.unlock();
        }
        failed.forEach(call -> call.fail(reason));
    }

    void close() {
        lock.lock();
        try {
            State previous = state;
            state = new State.Closed();
            if (previous instanceof State.Ready(Channel channel)) {
                channel.close();
            }
        } finally {
            lock.unlock();
        }
        onDisconnected("the link was closed");
    }

    private long register(PendingCall call) throws NotRunException {
        lock.lock();
        try {
            if (calls.size() >= MAX_PENDING_CALLS) {
                throw PendingCall.notRun(peer, MAX_PENDING_CALLS + " calls are pending already");
            }
            lastCorrelationId++;
            calls.put(lastCorrelationId, call);
            return lastCorrelationId;
        } finally {
            lock.unlock();
        }
    }

    private void unregister(long correlationId) {
        lock.lock();
        try {
            calls.remove(correlationId);
        } finally {
            lock.unlock();
        }
    }

    /** Queues or writes a frame; returns the reason why it was rejected, or null. */
    private String submit(Outbound outbound) {
        lock.lock();
        try {
            if (unwrittenBytes + outbound.frame().length > MAX_UNWRITTEN_BYTES) {
                return "too many bytes are waiting to be written";
            }
            return switch (state) {
                case State.NotConnected() -> {
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
        unsent.add(outbound);
        unwrittenBytes += outbound.frame().length;
    }

    /** Schedules a frame on the event loop; frames are written in the order in which they were scheduled. */
    private void write(Channel channel, Outbound outbound) {
        channel.eventLoop().execute(() -> {
            PendingCall call = outbound.call();
            if (!channel.isActive() || (call != null && !call.startWriting())) {
                onWritten(outbound);
                return;
            }
            Frames.write(channel, outbound.frame(), sent).addListener(done -> onWritten(outbound));
        });
    }

    private void onWritten(Outbound outbound) {
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
                onDisconnected(String.valueOf(done.cause().getMessage()));
            }
        });
    }

    /** Randomizes half of the delay, so that peers do not all reconnect at the same time to a restarted daemon. */
    private void scheduleConnect() {
        long maxDelay =
                Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << Math.min(failedAttempts, MAX_BACKOFF_DOUBLINGS));
        failedAttempts++;
        long delay = maxDelay / 2 + ThreadLocalRandom.current().nextLong(maxDelay / 2 + 1);
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
