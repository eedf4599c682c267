package org.chestnutbarrow.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.InvalidInputException;

/**
 * An HTTP/1.1 server. Safe for use by several threads.
 *
 * <p>Invariants: a connection carries one request at a time, the next one is not read before the answer to the last one
 * was written; after {@link #drain()} every answer closes its connection.
 *
 * <pre>{@code
 * HttpServer server = HttpServer.start(Address.parse("127.0.0.1:0"), HttpLimits.DEFAULT, request -> HttpResponse.text(200, "ok"));
 * }</pre>
 */
public final class HttpServer implements AutoCloseable {
    private static final int BACKLOG = 1024;
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int EVENT_LOOPS = 2;

    private final EventLoopGroup loops;
    private final ExecutorService executor;
    private final ServerConnections connections;
    private final Channel listener;
    private final AtomicBoolean closed = new AtomicBoolean();

    private HttpServer(
            EventLoopGroup loops, ExecutorService executor, ServerConnections connections, Channel listener) {
        this.loops = loops;
        this.executor = executor;
        this.connections = connections;
        this.listener = listener;
    }

    /**
     * Binds and starts to accept.
     *
     * @param bind where to listen; port 0 lets the system choose
     * @throws InvalidInputException if the address cannot be bound
     */
    public static HttpServer start(Address bind, HttpLimits limits, HttpHandler handler) throws InvalidInputException {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
        ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
        ServerConnections connections = new ServerConnections(limits.connections());
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        if (!connections.add(channel)) {
                            channel.close();
                            return;
                        }
                        HttpDecoderConfig config = new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_LINE_BYTES)
                                .setMaxHeaderSize(limits.headerBytes());
                        ReceiveTimeout timeout = new ReceiveTimeout(limits.receive(), limits.idle());
                        channel.pipeline()
                                .addLast(timeout)
                                .addLast(new HttpServerCodec(config))
                                .addLast(new HttpObjectAggregator(limits.bodyBytes()))
                                .addLast(new ServerExchange(handler, executor, connections, timeout));
                    }
                });
        try {
            Channel listener = bootstrap
                    .bind(new InetSocketAddress(bind.ip(), bind.port()))
                    .sync()
                    .channel();
            return new HttpServer(loops, executor, connections, listener);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw stopAfter(loops, executor, bind, e);
        } catch (Exception e) {
            throw stopAfter(loops, executor, bind, e);
        }
    }

    /** The address that was bound. */
    public Address address() {
        InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
        return new Address(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /** Requests that have been received, or may be on their way when draining begins, and are not yet answered. */
    public int inFlight() {
        return connections.inFlight();
    }

    /** Connections that are open now, at most the limit. */
    public int openConnections() {
        return connections.open();
    }

    /**
     * Ends each connection with its next answer, which says so. To be called some time before {@link #drain}: a request
     * that a caller sends on a kept connection while the server closes it is lost without an answer.
     */
    public void leave() {
        connections.leave();
    }

    /**
     * Stops accepting connections. Requests in flight are answered and their connections closed afterwards; idle
     * connections stay open for a moment more, because a caller may have sent a request that was not read yet.
     */
    public void drain() {
        if (closed.get()) {
            return;
        }
        listener.close().syncUninterruptibly();
        connections.drain();
    }

    /** Closes everything at once. */
    @Override
    public void close() {
        if (closed.getAndSet(true)) {
            return;
        }
        listener.close().syncUninterruptibly();
        connections.closeAll();
        executor.shutdownNow();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static InvalidInputException stopAfter(
            EventLoopGroup loops, ExecutorService executor, Address bind, Exception cause) {
        executor.shutdownNow();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        return new InvalidInputException(
                "cannot listen on " + bind + ": " + cause.getMessage(),
                "choose a free port or stop the process that uses it",
                cause);
    }
}
