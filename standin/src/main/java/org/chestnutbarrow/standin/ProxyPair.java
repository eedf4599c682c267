package org.chestnutbarrow.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.InvalidInputException;

/** A listen address with its target and its current fault. Thread-safe. */
final class ProxyPair {
    private static final int READ_BUFFER_BYTES = 64 * 1024;

    private final Set<ProxiedConnection> connections = ConcurrentHashMap.newKeySet();
    private final Channel listener;
    private volatile Address target;
    private volatile FaultSetting faultSetting = new FaultSetting(new ProxyFault.None(), 0);

    ProxyPair(EventLoopGroup eventLoops, Address listen, Address target) throws InvalidInputException {
        this.target = target;
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BUFFER_BYTES))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel caller) {
                        connect(caller);
                    }
                });
        try {
            listener = bootstrap
                    .bind(new InetSocketAddress(listen.ip(), listen.port()))
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InvalidInputException("interrupted while binding " + listen, "retry", e);
        } catch (Exception e) {
            throw new InvalidInputException(
                    "cannot listen on " + listen + ": " + e.getMessage(), "choose an unused port", e);
        }
    }

    Address listen() {
        InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
        return new Address(bound.getAddress().getHostAddress(), bound.getPort());
    }

    Address target() {
        return target;
    }

    FaultSetting faultSetting() {
        return faultSetting;
    }

    /** Changes the target of new connections. */
    void setTarget(Address address) {
        target = address;
    }

    void setFault(ProxyFault fault) {
        faultSetting = new FaultSetting(fault, faultSetting.version() + 1);
        for (ProxiedConnection connection : connections) {
            connection.caller().eventLoop().execute(() -> applyFault(fault, connection));
        }
    }

    void close() {
        listener.close().syncUninterruptibly();
        connections.forEach(ProxiedConnection::close);
    }

    /** Enables reads from each channel only while the other one is writable and the pair is not frozen. */
    void updateAutoRead(SocketChannel reader, SocketChannel writer) {
        boolean frozen = faultSetting.fault() instanceof ProxyFault.Freeze;
        reader.config().setAutoRead(!frozen && writer.isWritable());
        writer.config().setAutoRead(!frozen && reader.isWritable());
    }

    private void applyFault(ProxyFault fault, ProxiedConnection connection) {
        switch (fault) {
            case ProxyFault.Cut _ -> connection.close();
            case ProxyFault.HalfClose(ProxyFault.Direction direction) ->
                connection.handler(direction).shutdownOutput();
            case ProxyFault.None _,
                    ProxyFault.Delay _,
                    ProxyFault.Freeze _,
                    ProxyFault.Drop _,
                    ProxyFault.CutAfter _,
                    ProxyFault.Duplicate _ -> updateAutoRead(connection.caller(), connection.targetChannel());
        }
    }

    private void connect(SocketChannel caller) {
        if (faultSetting.fault() instanceof ProxyFault.Cut) {
            caller.close();
            return;
        }
        new Bootstrap()
                .group(caller.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BUFFER_BYTES))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel targetChannel) {
                        relay(caller, targetChannel);
                    }
                })
                .connect(new InetSocketAddress(target.ip(), target.port()))
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        caller.close();
                    }
                });
    }

    private void relay(SocketChannel caller, SocketChannel targetChannel) {
        ForwardingHandler toTarget = new ForwardingHandler(this, ProxyFault.Direction.TO_TARGET, caller, targetChannel);
        ForwardingHandler toCaller = new ForwardingHandler(this, ProxyFault.Direction.TO_CALLER, targetChannel, caller);
        ProxiedConnection connection = new ProxiedConnection(caller, targetChannel, toTarget, toCaller);
        connections.add(connection);
        caller.closeFuture().addListener(done -> connections.remove(connection));
        caller.pipeline().addLast(toTarget);
        targetChannel.pipeline().addLast(toCaller, new ConnectedHandler(this, connection));
    }

    /** A fault with a version that increases each time a fault is set. */
    record FaultSetting(ProxyFault fault, long version) {}

    /** The channels of a proxied connection and the handlers of its two directions. */
    record ProxiedConnection(
            SocketChannel caller, SocketChannel targetChannel, ForwardingHandler toTarget, ForwardingHandler toCaller) {
        ForwardingHandler handler(ProxyFault.Direction direction) {
            return switch (direction) {
                case TO_TARGET -> toTarget;
                case TO_CALLER -> toCaller;
            };
        }

        void close() {
            caller.close();
            targetChannel.close();
        }
    }
}
