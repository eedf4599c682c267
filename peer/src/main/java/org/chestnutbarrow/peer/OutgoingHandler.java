package org.chestnutbarrow.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** The connecting side of a connection: handshake, then answers. Fields are used on the event loop only. */
final class OutgoingHandler extends SimpleChannelInboundHandler<byte[]> {
    private static final Logger log = System.getLogger(OutgoingHandler.class.getName());

    private final OutgoingConnection connection;
    private final Handshake handshake;
    private final FrameDecoder decoder;
    private final Traffic sent;
    private final Handshake.Party self;
    private boolean authenticated;
    private int silentPeriods;
    private String reason = "connection ended";

    OutgoingHandler(OutgoingConnection connection, Handshake handshake, FrameDecoder decoder, Traffic sent) {
        this.connection = connection;
        this.handshake = handshake;
        this.decoder = decoder;
        this.sent = sent;
        this.self = handshake.newParty();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        Frames.limitHandshake(ctx.channel(), () -> authenticated);
        Frames.write(ctx.channel(), handshake.hello(self), sent);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, byte[] frame) throws FrameException {
        silentPeriods = 0;
        if (!authenticated) {
            authenticate(ctx, frame);
        } else if (!Frames.isPong(frame)) {
            connection.answered(PeerCodec.decode(frame));
        }
    }

    private void authenticate(ChannelHandlerContext ctx, byte[] frame) throws FrameException {
        Handshake.Party other = handshake.readChallenge(frame, self);
        if (!other.daemon().equals(connection.peer())) {
            throw new FrameException("the address of " + connection.peer() + " belongs to " + other.daemon());
        }
        Frames.write(ctx.channel(), handshake.proof(self, other), sent);
        authenticated = true;
        decoder.authenticated();
        connection.ready(ctx.channel());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (!(event instanceof IdleStateEvent) || !authenticated) {
            return;
        }
        silentPeriods++;
        if (silentPeriods > Frames.MAX_SILENT_PERIODS) {
            reason = "no sign of life";
            ctx.close();
        } else {
            Frames.write(ctx.channel(), Frames.ping(), sent);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        connection.lost(authenticated ? reason : "connection ended before the handshake was complete");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        reason = "protocol error or broken connection";
        log.log(Level.WARNING, () -> "event=peer-failed peer=" + connection.peer() + " cause=\"" + cause + "\"");
        ctx.close();
    }
}
