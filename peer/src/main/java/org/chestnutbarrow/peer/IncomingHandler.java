package org.chestnutbarrow.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.RejectedExecutionException;
import org.chestnutbarrow.model.DaemonId;

/**
 * Handles the accepting side of a connection: the handshake, then requests and one-way messages. Fields are confined to
 * the event loop.
 *
 * <p>Invariant: reading is suspended while the messages in progress reach {@link #MAX_IN_PROGRESS} in number or
 * {@link #MAX_IN_PROGRESS_BYTES} in size, and the connection is closed if the peer does not read its responses.
 */
final class IncomingHandler extends SimpleChannelInboundHandler<byte[]> {
    /** Exceeds the number of pending calls of one peer, so that requests do not block one-way messages. */
    static final int MAX_IN_PROGRESS = 2 * OutgoingConnection.MAX_PENDING_CALLS;

    static final long MAX_IN_PROGRESS_BYTES = 2 * OutgoingConnection.MAX_UNWRITTEN_BYTES;

    private static final Logger log = System.getLogger(IncomingHandler.class.getName());

    private final IncomingConnections connections;
    private final Handshake handshake;
    private final FrameDecoder decoder;
    private final TrafficCounter sent;
    private State state = new State.AwaitingHello();
    private int inProgress;
    private long inProgressBytes;
    private long unwrittenBytes;
    private int idlePeriods;

    /** The state of the handshake. */
    private sealed interface State {
        record AwaitingHello() implements State {}

        record AwaitingProof(Handshake.Party connecting, Handshake.Party accepting) implements State {}

        record Authenticated(DaemonId peer, SerialExecutor messageExecutor) implements State {}
    }

    IncomingHandler(IncomingConnections connections, Handshake handshake, FrameDecoder decoder, TrafficCounter sent) {
        this.connections = connections;
        this.handshake = handshake;
        this.decoder = decoder;
        this.sent = sent;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        Frames.closeUnlessAuthenticated(ctx.channel(), () -> state instanceof State.Authenticated);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, byte[] frame) throws FrameException {
        idlePeriods = 0;
        switch (state) {
            case State.AwaitingHello() -> handleHello(ctx, frame);
            case State.AwaitingProof(Handshake.Party connecting, Handshake.Party accepting) -> {
                handshake.verifyProof(frame, connecting, accepting);
                decoder.authenticated();
                state = new State.Authenticated(
                        connecting.daemon(), connections.register(connecting.daemon(), ctx.channel()));
            }
            case State.Authenticated(DaemonId peer, SerialExecutor messageExecutor) ->
                handleMessage(ctx, frame, peer, messageExecutor);
        }
    }

    private void handleHello(ChannelHandlerContext ctx, byte[] frame) throws FrameException {
        Handshake.Party connecting = handshake.readHello(frame);
        if (!connections.isConfigured(connecting.daemon())) {
            throw new FrameException("peer " + connecting.daemon() + " is not configured on this daemon");
        }
        Handshake.Party accepting = handshake.newParty();
        state = new State.AwaitingProof(connecting, accepting);
        Frames.write(ctx.channel(), handshake.challenge(connecting, accepting), sent);
    }

    private void handleMessage(ChannelHandlerContext ctx, byte[] encoded, DaemonId peer, SerialExecutor messageExecutor)
            throws FrameException {
        if (Frames.isPing(encoded)) {
            write(ctx, Frames.pong());
            return;
        }
        PeerCodec.Frame frame = PeerCodec.decode(encoded);
        inProgress++;
        inProgressBytes += encoded.length;
        ctx.channel().config().setAutoRead(inProgress < MAX_IN_PROGRESS && inProgressBytes < MAX_IN_PROGRESS_BYTES);
        if (frame.correlationId() == PeerCodec.NO_RESPONSE) {
            messageExecutor.execute(() -> {
                connections.receive(peer, frame.message());
                runOnEventLoop(ctx, () -> finish(ctx, encoded.length));
            });
            return;
        }
        connections.execute(() -> {
            byte[] response = connections.handle(peer, frame);
            runOnEventLoop(ctx, () -> {
                finish(ctx, encoded.length);
                write(ctx, response);
            });
        });
    }

    private static void runOnEventLoop(ChannelHandlerContext ctx, Runnable task) {
        try {
            ctx.executor().execute(task);
        } catch (RejectedExecutionException e) {
            log.log(Level.DEBUG, () -> "event=answer-dropped reason=link-closed");
        }
    }

    private void finish(ChannelHandlerContext ctx, int frameBytes) {
        inProgress--;
        inProgressBytes -= frameBytes;
        if (inProgress < MAX_IN_PROGRESS && inProgressBytes < MAX_IN_PROGRESS_BYTES) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    private void write(ChannelHandlerContext ctx, byte[] frame) {
        if (unwrittenBytes + frame.length > OutgoingConnection.MAX_UNWRITTEN_BYTES) {
            log.log(Level.WARNING, () -> "event=peer-refused reason=\"the peer does not read its responses\"");
            ctx.close();
            return;
        }
        unwrittenBytes += frame.length;
        Frames.write(ctx.channel(), frame, sent).addListener(done -> unwrittenBytes -= frame.length);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (!(event instanceof IdleStateEvent) || !ctx.channel().config().isAutoRead()) {
            return;
        }
        idlePeriods++;
        if (idlePeriods > Frames.MAX_IDLE_PERIODS) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (state instanceof State.Authenticated(DaemonId peer, SerialExecutor _)) {
            connections.unregister(peer, ctx.channel());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        log.log(
                Level.WARNING,
                () -> "event=peer-refused from=" + ctx.channel().remoteAddress() + " cause=\"" + cause + "\"");
        ctx.close();
    }
}
