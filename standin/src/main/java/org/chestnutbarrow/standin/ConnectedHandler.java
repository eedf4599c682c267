package org.chestnutbarrow.standin;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Applies the current fault of a pair when the target accepts; it may have changed since the caller connected. */
final class ConnectedHandler extends ChannelInboundHandlerAdapter {
    private final ProxyPair pair;
    private final ProxyPair.ProxiedConnection connection;

    ConnectedHandler(ProxyPair pair, ProxyPair.ProxiedConnection connection) {
        this.pair = pair;
        this.connection = connection;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (pair.faultSetting().fault() instanceof ProxyFault.Cut
                || !connection.caller().isActive()) {
            connection.close();
        } else {
            pair.updateAutoRead(connection.caller(), connection.targetChannel());
        }
        ctx.fireChannelActive();
    }
}
