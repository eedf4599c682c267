package org.chestnutbarrow.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.RejectedExecutionException;
import org.chestnutbarrow.model.DaemonId;

/**
 * The accepting side of a connection: handshake, then requests and messages. Fields are used on the event loop only.
 *
 * <p>Invariant: reading pauses while the messages that are being handled exceed {@link #MAX_HANDLED} in number or
 * {@link #MAX_HANDLED_BYTES} in size, and the connection is closed when the peer does not read its answers.
 */
final class IncomingHandler extends SimpleChannelInboundHandler<byte[]> {
    /** More than one peer may have waiting, so that requests do not hold up messages without an answer. */
    static final int MAX_HANDLED = 2 * OutgoingConnection.MAX_CALLS;

    static final long MAX_HANDLED_BYTES = 2 * OutgoingConnection.MAX_UNWRITTEN_BYTES;

    private static final Logger log = System.getLogger(IncomingHandler.class.getName());

    private final IncomingPeers peers;
    private final Handshake handshake;
    private final FrameDecoder decoder;
    private final Traffic sent;
    private State state = new State.AwaitsHello();
    private int handled;
    private long handledBytes;
    private long unwrittenBytes;
    private int silentPeriods;

    /** How far the connection has come. */
    private sealed interface State {
        record AwaitsHello() implements State {}

        record AwaitsProof(Handshake.Party connecting, Handshake.Party accepting) implements State {}

        record Authenticated(DaemonId peer, Inbox inbox) implements State {}
    }

    IncomingHandler(IncomingPeers peers, Handshake handshake, FrameDecoder decoder, Traffic sent) {
        this.peers = peers;
        this.handshake = handshake;
        this.decoder = decoder;
        this.sent = sent;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        Frames.limitHandshake(ctx.channel(), () -> state instanceof State.Authenticated);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, byte[] frame) throws FrameException {
        silentPeriods = 0;
        switch (state) {
            case State.AwaitsHello() -> hello(ctx, frame);
            case State.AwaitsProof(Handshake.Party connecting, Handshake.Party accepting) -> {
                handshake.checkProof(frame, connecting, accepting);
                decoder.authenticated();
                state = new State.Authenticated(
                        connecting.daemon(), peers.accepted(connecting.daemon(), ctx.channel()));
            }
            case State.Authenticated(DaemonId peer, Inbox inbox) -> message(ctx, frame, peer, inbox);
        }
    }

    private void hello(ChannelHandlerContext ctx, byte[] frame) throws FrameException {
        Handshake.Party connecting = handshake.readHello(frame);
        if (!peers.known(connecting.daemon())) {
            throw new FrameException("peer " + connecting.daemon() + " is not configured here");
        }
        Handshake.Party accepting = handshake.newParty();
        state = new State.AwaitsProof(connecting, accepting);
        Frames.write(ctx.channel(), handshake.challenge(connecting, accepting), sent);
    }

    private void message(ChannelHandlerContext ctx, byte[] bytes, DaemonId peer, Inbox inbox) throws FrameException {
        if (Frames.isPing(bytes)) {
            write(ctx, Frames.pong());
            return;
        }
        PeerCodec.Frame frame = PeerCodec.decode(bytes);
        handled++;
        handledBytes += bytes.length;
        ctx.channel().config().setAutoRead(handled < MAX_HANDLED && handledBytes < MAX_HANDLED_BYTES);
        if (frame.correlation() == PeerCodec.NO_ANSWER) {
            inbox.add(() -> {
                peers.receive(peer, frame.message());
                onLoop(ctx, () -> finish(ctx, bytes.length));
            });
            return;
        }
        peers.execute(() -> {
            byte[] answer = peers.answer(peer, frame);
            onLoop(ctx, () -> {
                finish(ctx, bytes.length);
                write(ctx, answer);
            });
        });
    }

    private static void onLoop(ChannelHandlerContext ctx, Runnable step) {
        try {
            ctx.executor().execute(step);
        } catch (RejectedExecutionException e) {
            log.log(Level.DEBUG, () -> "event=answer-dropped reason=link-closed");
        }
    }

    private void finish(ChannelHandlerContext ctx, int bytes) {
        handled--;
        handledBytes -= bytes;
        if (handled < MAX_HANDLED && handledBytes < MAX_HANDLED_BYTES) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    private void write(ChannelHandlerContext ctx, byte[] frame) {
        if (unwrittenBytes + frame.length > OutgoingConnection.MAX_UNWRITTEN_BYTES) {
            log.log(Level.WARNING, () -> "event=peer-refused reason=\"the peer does not read its answers\"");
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
        silentPeriods++;
        if (silentPeriods > Frames.MAX_SILENT_PERIODS) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (state instanceof State.Authenticated(DaemonId peer, Inbox _)) {
            peers.ended(peer, ctx.channel());
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
