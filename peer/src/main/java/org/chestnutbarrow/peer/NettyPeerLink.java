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
import io.netty.handler.flush.FlushConsolidationHandler;
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
 * A {@link PeerLink} based on Netty. Thread-safe; the state of each peer is guarded by its own lock.
 *
 * <p>Invariants: only handshake frames are exchanged until both sides have proved that they know the key; a call whose
 * bytes may have been written is never reported as not run.
 *
 * <pre>{@code
 * NettyPeerLink link = NettyPeerLink.start(self, incarnation, Address.parse("127.0.0.1:0"), key, handler);
 * link.connect(peer, address);
 * PeerMessage response = link.call(peer, new PeerMessage.ConfirmPosition(7), Duration.ofSeconds(1));
 * }</pre>
 */
public final class NettyPeerLink implements PeerLink {
    private static final Logger log = System.getLogger(NettyPeerLink.class.getName());
    private static final int EVENT_LOOPS = 2;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Maximum number of accepted connections, including those that are not authenticated yet. */
    private static final int MAX_ACCEPTED_CONNECTIONS = 256;

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final ChannelGroup acceptedChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final Map<DaemonId, OutgoingConnection> connections;
    private final TrafficCounter received = new TrafficCounter();
    private final TrafficCounter sent = new TrafficCounter();
    private final LongAdder messagesDropped = new LongAdder();
    private final Handshake handshake;
    private final IncomingConnections incomingConnections;
    private Channel listener;
    private final AtomicBoolean closed = new AtomicBoolean();

    private NettyPeerLink(
            Map<DaemonId, OutgoingConnection> connections,
            DaemonId self,
            long incarnation,
            PeerAccess access,
            PeerHandler handler) {
        this.connections = connections;
        handshake = new Handshake(access.key(), self, incarnation);
        incomingConnections = new IncomingConnections(handler, executor, access.accepts());
    }

    /**
     * Binds and starts accepting peers that know the key and were registered by {@link #connect}.
     *
     * @param incarnation identifies this run of the daemon process; different after every start
     * @param bind address to listen on; port 0 selects a free port
     * @param key secret shared by all daemons
     * @throws InvalidInputException if the address cannot be bound
     */
    public static NettyPeerLink start(DaemonId self, long incarnation, Address bind, byte[] key, PeerHandler handler)
            throws InvalidInputException {
        Checks.require(key.length > 0, "shared key must not be empty");
        Map<DaemonId, OutgoingConnection> connections = new ConcurrentHashMap<>();
        return start(
                connections, self, incarnation, bind, new PeerAccess(() -> key, connections::containsKey), handler);
    }

    /**
     * Binds and starts accepting the peers that {@code access} allows.
     *
     * @param incarnation identifies this run of the daemon process; different after every start
     * @param bind address to listen on; port 0 selects a free port
     * @throws InvalidInputException if the address cannot be bound
     */
    public static NettyPeerLink start(
            DaemonId self, long incarnation, Address bind, PeerAccess access, PeerHandler handler)
            throws InvalidInputException {
        return start(new ConcurrentHashMap<>(), self, incarnation, bind, access, handler);
    }

    private static NettyPeerLink start(
            Map<DaemonId, OutgoingConnection> connections,
            DaemonId self,
            long incarnation,
            Address bind,
            PeerAccess access,
            PeerHandler handler)
            throws InvalidInputException {
        NettyPeerLink link = new NettyPeerLink(connections, self, incarnation, access, handler);
        try {
            link.listener = link.serverBootstrap()
                    .bind(new InetSocketAddress(bind.ip(), bind.port()))
                    .sync()
                    .channel();
            return link;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw link.shutDownAfterBindFailure(bind, e);
        } catch (Exception e) {
            throw link.shutDownAfterBindFailure(bind, e);
        }
    }

    @Override
    public Address address() {
        InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
        return new Address(bound.getAddress().getHostAddress(), bound.getPort());
    }

    @Override
    public void connect(DaemonId peer, Address address) {
        connections.computeIfAbsent(peer, _ -> newConnection(peer, address)).updateAddress(address);
    }

    /** Closes the connection to a peer and forgets its address. */
    public void disconnect(DaemonId peer) {
        OutgoingConnection connection = connections.remove(peer);
        if (connection != null) {
            connection.close();
        }
    }

    @Override
    public PeerMessage call(DaemonId peer, PeerMessage request, Duration timeout)
            throws NotRunException, OutcomeUnknownException {
        OutgoingConnection connection = connections.get(peer);
        if (connection == null || closed.get()) {
            throw PendingCall.notRun(peer, closed.get() ? "the link is closed" : "no address is known");
        }
        return connection.call(request, timeout);
    }

    @Override
    public void send(DaemonId peer, PeerMessage message) {
        OutgoingConnection connection = connections.get(peer);
        String rejection = connection == null || closed.get() ? "no connection" : connection.send(message);
        if (rejection != null) {
            messagesDropped.increment();
            log.log(Level.DEBUG, () -> "event=message-dropped peer=" + peer + " reason=\"" + rejection + "\"");
        }
    }

    /** Returns the number of bytes received from all peers. */
    public long bytesReceived() {
        return received.bytes();
    }

    /** Returns the number of bytes written to all peers. */
    public long bytesSent() {
        return sent.bytes();
    }

    /** Returns the number of frames received from all peers, including handshake and control frames. */
    public long framesReceived() {
        return received.frames();
    }

    /** Returns the number of frames written to all peers, including handshake and control frames. */
    public long framesSent() {
        return sent.frames();
    }

    /** Returns the number of one-way messages dropped because they could not be sent. */
    public long messagesDropped() {
        return messagesDropped.sum();
    }

    @Override
    public void close() {
        if (closed.getAndSet(true)) {
            return;
        }
        listener.close().syncUninterruptibly();
        acceptedChannels.close();
        connections.values().forEach(OutgoingConnection::close);
        executor.shutdownNow();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private ServerBootstrap serverBootstrap() {
        return new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        if (acceptedChannels.size() >= MAX_ACCEPTED_CONNECTIONS) {
                            channel.close();
                            return;
                        }
                        acceptedChannels.add(channel);
                        FrameDecoder decoder = new FrameDecoder(received);
                        channel.pipeline()
                                .addLast(flushConsolidation())
                                .addLast(idleStateHandler())
                                .addLast(decoder)
                                .addLast(new IncomingHandler(incomingConnections, handshake, decoder, sent));
                    }
                });
    }

    private OutgoingConnection newConnection(DaemonId peer, Address address) {
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
        OutgoingConnection connection = new OutgoingConnection(peer, address, bootstrap, sent);
        bootstrap.handler(new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                FrameDecoder decoder = new FrameDecoder(received);
                channel.pipeline()
                        .addLast(flushConsolidation())
                        .addLast(idleStateHandler())
                        .addLast(decoder)
                        .addLast(new OutgoingHandler(connection, handshake, decoder, sent));
            }
        });
        return connection;
    }

    /** Writes the frames of concurrent calls with one system call. */
    private static FlushConsolidationHandler flushConsolidation() {
        return new FlushConsolidationHandler(FlushConsolidationHandler.DEFAULT_EXPLICIT_FLUSH_AFTER_FLUSHES, true);
    }

    private static IdleStateHandler idleStateHandler() {
        return new IdleStateHandler(Frames.PING_AFTER_IDLE_MILLIS, 0, 0, TimeUnit.MILLISECONDS);
    }

    private InvalidInputException shutDownAfterBindFailure(Address bind, Exception cause) {
        executor.shutdownNow();
        eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        return new InvalidInputException(
                "cannot listen for peers on " + bind + ": " + cause.getMessage(),
                "choose a free port or stop the process that uses it",
                cause);
    }
}
