package org.chestnutbarrow.standin;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Applies the pair's fault once the target has accepted, which may have changed since the caller connected. */
final class ConnectedHandler extends ChannelInboundHandlerAdapter {
    private final ProxyPair pair;
    private final ProxyPair.Relay relay;

    ConnectedHandler(ProxyPair pair, ProxyPair.Relay relay) {
        this.pair = pair;
        this.relay = relay;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (pair.setting().fault() instanceof ProxyFault.Cut || !relay.caller().isActive()) {
            relay.close();
        } else {
            pair.refresh(relay.caller(), relay.callee());
        }
        ctx.fireChannelActive();
    }
}
