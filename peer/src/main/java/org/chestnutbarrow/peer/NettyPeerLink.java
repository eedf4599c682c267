package org.chestnutbarrow.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/**
 * The connections to all peers on Netty. Safe for use by several threads; the state of each peer has its own lock.
 *
 * <p>Invariants: nothing but the handshake is exchanged before both sides have proved that they know the key; a call
 * whose bytes may have been written is never reported as not run.
 *
 * <pre>{@code
 * NettyPeerLink link = NettyPeerLink.start(self, incarnation, Address.parse("127.0.0.1:0"), key, handler);
 * link.connect(peer, address);
 * PeerMessage answer = link.call(peer, new PeerMessage.ConfirmPosition(7), Duration.ofSeconds(1));
 * }</pre>
 */
public final class NettyPeerLink implements PeerLink {
    private static final Logger log = System.getLogger(NettyPeerLink.class.getName());
    private static final int EVENT_LOOPS = 2;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Most accepted connections, including those that have not proved yet who they are. */
    private static final int MAX_ACCEPTED = 256;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final Map<DaemonId, OutgoingConnection> peers = new ConcurrentHashMap<>();
    private final Traffic received = new Traffic();
    private final Traffic sent = new Traffic();
    private final LongAdder dropped = new LongAdder();
    private final Handshake handshake;
    private final IncomingPeers incoming;
    private Channel listener;
    private final AtomicBoolean closed = new AtomicBoolean();

    private NettyPeerLink(DaemonId self, long incarnation, byte[] key, PeerHandler handler) {
        handshake = new Handshake(key, self, incarnation);
        incoming = new IncomingPeers(handler, executor, peers::containsKey);
    }

    /**
     * Binds and starts to accept peers that know the key and that {@link #connect} has named.
     *
     * @param incarnation differs for every start of this daemon's process
     * @param bind where to listen; port 0 lets the system choose
     * @param key shared by all daemons
     * @throws InvalidInputException if the address cannot be bound
     */
    public static NettyPeerLink start(DaemonId self, long incarnation, Address bind, byte[] key, PeerHandler handler)
            throws InvalidInputException {
        Checks.require(key.length > 0, "the shared key must not be empty");
        NettyPeerLink link = new NettyPeerLink(self, incarnation, key, handler);
        try {
            link.listener = link.server()
                    .bind(new InetSocketAddress(bind.ip(), bind.port()))
                    .sync()
                    .channel();
            return link;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw link.stopAfter(bind, e);
        } catch (Exception e) {
            throw link.stopAfter(bind, e);
        }
    }

    @Override
    public Address address() {
        InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
        return new Address(bound.getAddress().getHostAddress(), bound.getPort());
    }

    @Override
    public void connect(DaemonId peer, Address address) {
        peers.computeIfAbsent(peer, _ -> outgoing(peer, address)).moveTo(address);
    }

    @Override
    public PeerMessage call(DaemonId peer, PeerMessage request, Duration timeout)
            throws NotRunException, OutcomeUnknownException {
        OutgoingConnection connection = peers.get(peer);
        if (connection == null || closed.get()) {
            throw PendingCall.notRun(peer, closed.get() ? "the link is closed" : "it has no address");
        }
        return connection.call(request, timeout);
    }

    @Override
    public void send(DaemonId peer, PeerMessage message) {
        OutgoingConnection connection = peers.get(peer);
        String refusal = connection == null || closed.get() ? "no connection" : connection.send(message);
        if (refusal != null) {
            dropped.increment();
            log.log(Level.DEBUG, () -> "event=message-dropped peer=" + peer + " reason=\"" + refusal + "\"");
        }
    }

    /** Bytes received from all peers so far. */
    public long bytesIn() {
        return received.bytes();
    }

    /** Bytes given to the network for all peers so far. */
    public long bytesOut() {
        return sent.bytes();
    }

    /** Frames received from all peers so far, including those of handshakes. */
    public long framesIn() {
        return received.frames();
    }

    /** Frames given to the network for all peers so far, including those of handshakes. */
    public long framesOut() {
        return sent.frames();
    }

    /** Messages without an answer that were dropped so far because their peer could not be reached. */
    public long dropped() {
        return dropped.sum();
    }

    @Override
    public void close() {
        if (closed.getAndSet(true)) {
            return;
        }
        listener.close().syncUninterruptibly();
        accepted.close();
        peers.values().forEach(OutgoingConnection::close);
        executor.shutdownNow();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private ServerBootstrap server() {
        return new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        if (accepted.size() >= MAX_ACCEPTED) {
                            channel.close();
                            return;
                        }
                        accepted.add(channel);
                        FrameDecoder decoder = new FrameDecoder(received);
                        channel.pipeline()
                                .addLast(idle())
                                .addLast(decoder)
                                .addLast(new IncomingHandler(incoming, handshake, decoder, sent));
                    }
                });
    }

    private OutgoingConnection outgoing(DaemonId peer, Address address) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
        OutgoingConnection connection = new OutgoingConnection(peer, address, bootstrap, sent);
        bootstrap.handler(new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                FrameDecoder decoder = new FrameDecoder(received);
                channel.pipeline()
                        .addLast(idle())
                        .addLast(decoder)
                        .addLast(new OutgoingHandler(connection, handshake, decoder, sent));
            }
        });
        return connection;
    }

    private static IdleStateHandler idle() {
        return new IdleStateHandler(Frames.PING_AFTER_MILLIS, 0, 0, TimeUnit.MILLISECONDS);
    }

    private InvalidInputException stopAfter(Address bind, Exception cause) {
        executor.shutdownNow();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        return new InvalidInputException(
                "cannot listen for peers on " + bind + ": " + cause.getMessage(),
                "choose a free port or stop the process that uses it",
                cause);
    }
}
