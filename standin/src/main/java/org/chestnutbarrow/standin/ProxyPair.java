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

/** One listen address with its target and its fault. Safe for use by several threads. */
final class ProxyPair {
    private static final int READ_BYTES = 64 * 1024;

    private final Set<Relay> relays = ConcurrentHashMap.newKeySet();
    private final Channel listener;
    private volatile Address target;
    private volatile Setting setting = new Setting(new ProxyFault.None(), 0);

    ProxyPair(EventLoopGroup loops, Address listen, Address target) throws InvalidInputException {
        this.target = target;
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BYTES))
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
            throw new InvalidInputException("interrupted while binding " + listen, "try again", e);
        } catch (Exception e) {
            throw new InvalidInputException(
                    "cannot listen on " + listen + ": " + e.getMessage(), "choose a free port", e);
        }
    }

    Address listen() {
        InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
        return new Address(bound.getAddress().getHostAddress(), bound.getPort());
    }

    Address target() {
        return target;
    }

    Setting setting() {
        return setting;
    }

    /** Sends connections that are made from now on to another target. */
    void retarget(Address address) {
        target = address;
    }

    void set(ProxyFault fault) {
        setting = new Setting(fault, setting.version() + 1);
        for (Relay relay : relays) {
            relay.caller().eventLoop().execute(() -> apply(fault, relay));
        }
    }

    void close() {
        listener.close().syncUninterruptibly();
        relays.forEach(Relay::close);
    }

    /** Reads from a channel only if the other one takes more and the pair is not frozen. */
    void refresh(SocketChannel reader, SocketChannel writer) {
        boolean frozen = setting.fault() instanceof ProxyFault.Freeze;
        reader.config().setAutoRead(!frozen && writer.isWritable());
        writer.config().setAutoRead(!frozen && reader.isWritable());
    }

    private void apply(ProxyFault fault, Relay relay) {
        switch (fault) {
            case ProxyFault.Cut _ -> relay.close();
            case ProxyFault.HalfClose(ProxyFault.Direction direction) ->
                relay.lane(direction).endOutput();
            case ProxyFault.None _,
                    ProxyFault.Delay _,
                    ProxyFault.Freeze _,
                    ProxyFault.Drop _,
                    ProxyFault.CutAfter _,
                    ProxyFault.Duplicate _ -> refresh(relay.caller(), relay.callee());
        }
    }

    private void connect(SocketChannel caller) {
        if (setting.fault() instanceof ProxyFault.Cut) {
            caller.close();
            return;
        }
        new Bootstrap()
                .group(caller.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BYTES))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel callee) {
                        join(caller, callee);
                    }
                })
                .connect(new InetSocketAddress(target.ip(), target.port()))
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        caller.close();
                    }
                });
    }

    private void join(SocketChannel caller, SocketChannel callee) {
        ProxyLane there = new ProxyLane(this, ProxyFault.Direction.TO_TARGET, caller, callee);
        ProxyLane back = new ProxyLane(this, ProxyFault.Direction.TO_CALLER, callee, caller);
        Relay relay = new Relay(caller, callee, there, back);
        relays.add(relay);
        caller.closeFuture().addListener(done -> relays.remove(relay));
        caller.pipeline().addLast(there);
        callee.pipeline().addLast(back, new ConnectedHandler(this, relay));
    }

    /** A fault with a number that differs each time one is set. */
    record Setting(ProxyFault fault, long version) {}

    /** One proxied connection. */
    record Relay(SocketChannel caller, SocketChannel callee, ProxyLane there, ProxyLane back) {
        ProxyLane lane(ProxyFault.Direction direction) {
            return switch (direction) {
                case TO_TARGET -> there;
                case TO_CALLER -> back;
            };
        }

        void close() {
            caller.close();
            callee.close();
        }
    }
}
