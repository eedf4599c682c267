package org.chestnutbarrow.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.InvalidInputException;

/**
 * An HTTP/1.1 server. Thread-safe.
 *
 * <p>Invariants: a connection carries one request at a time, and the next request is not read until the response to the
 * previous one has been written; after {@link #drain()} every response closes its connection.
 *
 * <pre>{@code
 * HttpServer server = HttpServer.start(
 *         Address.parse("127.0.0.1:0"), HttpLimits.DEFAULT, request -> HttpResponse.text(200, "ok"));
 * }</pre>
 */
public final class HttpServer implements AutoCloseable {
    private static final int BACKLOG = 1024;
    private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;
    private static final int EVENT_LOOPS = 2;

    private final EventLoopGroup eventLoops;
    private final ExecutorService executor;
    private final ServerConnections connections;
    private final ReceiveBudget budget;
    private final ListenerChannel listener;
    private final AtomicBoolean closed = new AtomicBoolean();

    private HttpServer(
            EventLoopGroup eventLoops,
            ExecutorService executor,
            ServerConnections connections,
            ReceiveBudget budget,
            ListenerChannel listener) {
        this.eventLoops = eventLoops;
        this.executor = executor;
        this.connections = connections;
        this.budget = budget;
        this.listener = listener;
    }

    /**
     * Binds and starts accepting connections.
     *
     * @param bind address to listen on; port 0 selects a free port
     * @throws InvalidInputException if the address cannot be bound
     */
    public static HttpServer start(Address bind, HttpLimits limits, HttpHandler handler) throws InvalidInputException {
        EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
        ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
        ServerConnections connections = new ServerConnections(limits.maxConnections(), limits.evictsSilent());
        ReceiveBudget budget = new ReceiveBudget(limits.maxHeldBytes());
        HttpHeadersFactory headersFactory = LimitedHeaders.factory(limits.maxHeaderFields());
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channelFactory(() -> new ListenerChannel(BACKLOG))
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
                                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                                .setMaxHeaderSize(limits.maxHeaderBytes())
                                .setHeadersFactory(headersFactory)
                                .setTrailersFactory(headersFactory);
                        ReceiveTimeout timeout = new ReceiveTimeout(limits.receiveTimeout(), limits.idleTimeout());
                        RequestBytes requestBytes = new RequestBytes(budget);
                        channel.pipeline()
                                .addLast(timeout)
                                .addLast(requestBytes)
                                .addLast(new HttpServerCodec(config))
                                .addLast(new RequestAssembler(limits.maxBodyBytes()))
                                .addLast(new ServerConnectionHandler(
                                        handler, executor, connections, timeout, requestBytes));
                    }
                });
        try {
            ListenerChannel listener = (ListenerChannel) bootstrap
                    .bind(new InetSocketAddress(bind.ip(), bind.port()))
                    .sync()
                    .channel();
            return new HttpServer(eventLoops, executor, connections, budget, listener);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw shutDownAfterBindFailure(eventLoops, executor, bind, e);
        } catch (Exception e) {
            throw shutDownAfterBindFailure(eventLoops, executor, bind, e);
        }
    }

    /** Returns the bound address. */
    public Address address() {
        InetSocketAddress bound = listener.localAddress();
        return new Address(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /** Returns the number of unanswered requests, including those that may be in transit when draining starts. */
    public int inFlight() {
        return connections.inFlight();
    }

    /** Returns the number of requests that were refused because all requests together were too large. */
    public long refusedRequests() {
        return budget.refusals();
    }

    /** Returns the number of connections that were closed because there were too many. */
    public long evictedConnections() {
        return connections.evictions();
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.openCount();
    }

    /**
     * Closes each connection after its next response, which announces it with {@code Connection: close}. Call this some
     * time before {@link #drain}, as a request sent on a persistent connection while the server closes it is lost.
     */
    public void disableKeepAlive() {
        connections.disableKeepAlive();
    }

    /**
     * Stops accepting connections, those of the backlog excepted. Requests in flight are completed before their
     * connections are closed; idle connections stay open for a grace period, because a client may have sent a request
     * that has not been read yet. When this method returns, the address refuses connections.
     */
    public void drain() {
        drain(Optional.empty());
    }

    /**
     * Drains like {@link #drain()}, and sends a response on idle connections before it closes them. A client that sends
     * a request at the moment of the close receives this response instead of none; its request is not handled. The
     * status should be 408, the only one that clients expect without a request (RFC 9110, section 15.5.9).
     */
    public void drain(HttpResponse lastResponse) {
        drain(Optional.of(lastResponse));
    }

    private void drain(Optional<HttpResponse> lastResponse) {
        if (closed.get()) {
            return;
        }
        closeListener();
        connections.drain(lastResponse);
    }

    /** Closes the listener and all connections immediately. When this method returns, the address refuses connections. */
    @Override
    public void close() {
        if (closed.getAndSet(true)) {
            return;
        }
        closeListener();
        connections.closeAll();
        executor.shutdownNow();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Returns when the socket is closed and each accepted connection is known to {@link #connections}. */
    private void closeListener() {
        listener.closeAfterBacklog().syncUninterruptibly();
        // An event loop runs its tasks in order, so the registrations of accepted connections precede these tasks.
        for (EventExecutor eventLoop : eventLoops) {
            eventLoop.submit(() -> {}).syncUninterruptibly();
        }
    }

    private static InvalidInputException shutDownAfterBindFailure(
            EventLoopGroup eventLoops, ExecutorService executor, Address bind, Exception cause) {
        executor.shutdownNow();
        eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        return new InvalidInputException(
                "cannot listen on " + bind + ": " + cause.getMessage(),
                "choose a free port or stop the process that uses it",
                cause);
    }
}
