package org.chestnutbarrow.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** Handles the connecting side: the handshake, then responses and pings. Fields are confined to the event loop. */
final class OutgoingHandler extends SimpleChannelInboundHandler<byte[]> {
    private static final Logger log = System.getLogger(OutgoingHandler.class.getName());

    private final OutgoingConnection connection;
    private final Handshake handshake;
    private final FrameDecoder decoder;
    private final TrafficCounter sent;
    private final Handshake.Party self;
    private boolean authenticated;
    private int idlePeriods;
    private String closeReason = "connection closed";

    OutgoingHandler(OutgoingConnection connection, Handshake handshake, FrameDecoder decoder, TrafficCounter sent) {
        this.connection = connection;
        this.handshake = handshake;
        this.decoder = decoder;
        this.sent = sent;
        this.self = handshake.newParty();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        Frames.closeUnlessAuthenticated(ctx.channel(), () -> authenticated);
        Frames.write(ctx.channel(), handshake.hello(self), sent);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, byte[] frame) throws FrameException {
        idlePeriods = 0;
        if (!authenticated) {
            authenticate(ctx, frame);
        } else if (!Frames.isPong(frame)) {
            connection.complete(PeerCodec.decode(frame));
        }
    }

    private void authenticate(ChannelHandlerContext ctx, byte[] frame) throws FrameException {
        Handshake.Party accepting = handshake.readChallenge(frame, self);
        if (!accepting.daemon().equals(connection.peer())) {
            throw new FrameException("expected peer " + connection.peer() + " but connected to " + accepting.daemon());
        }
        Frames.write(ctx.channel(), handshake.proof(self, accepting), sent);
        authenticated = true;
        decoder.authenticated();
        connection.onReady(ctx.channel());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (!(event instanceof IdleStateEvent) || !authenticated) {
            return;
        }
        idlePeriods++;
        if (idlePeriods > Frames.MAX_IDLE_PERIODS) {
            closeReason = "idle timeout";
            ctx.close();
        } else {
            Frames.write(ctx.channel(), Frames.ping(), sent);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        connection.onDisconnected(authenticated ? closeReason : "connection closed before the handshake was complete");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        closeReason = "protocol error or broken connection";
        log.log(Level.WARNING, () -> "event=peer-failed peer=" + connection.peer() + " cause=\"" + cause + "\"");
        ctx.close();
    }
}
