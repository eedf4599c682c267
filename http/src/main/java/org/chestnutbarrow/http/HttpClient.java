package org.chestnutbarrow.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.LongAdder;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/**
 * An HTTP/1.1 client with persistent connections. Thread-safe; calls block and are suited to virtual threads.
 *
 * <p>If the server has closed a persistent connection before the first byte of a request is written, another connection
 * is used.
 *
 * <p>Invariants: a connection carries one exchange at a time; a connection whose exchange did not end with a complete
 * response is closed and never reused; bytes that arrive outside an exchange close the connection; a response that is
 * delimited only by the end of the connection is not considered complete.
 *
 * <pre>{@code
 * try (HttpClient client = new HttpClient(maxBodyBytes)) {
 *     HttpResponse response = client.send(address, HttpRequest.get("/v1/hosts"), Duration.ofSeconds(1));
 * }
 * }</pre>
 */
public final class HttpClient implements AutoCloseable {
    private static final int EVENT_LOOPS = 2;
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_STATUS_LINE_BYTES = 8 * 1024;

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private final IdleConnections idleConnections = new IdleConnections();
    private final TrafficCounter traffic = new TrafficCounter();
    private final LongAdder requests = new LongAdder();
    private final Bootstrap bootstrap;

    /**
     * Creates a client.
     *
     * @param maxBodyBytes maximum size of a response body; a larger response is considered incomplete
     */
    public HttpClient(int maxBodyBytes) {
        bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        HttpDecoderConfig config = new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
                                .setMaxHeaderSize(MAX_HEADER_BYTES);
                        channel.pipeline()
                                .addLast(traffic)
                                .addLast(new HttpClientCodec(config, false, true))
                                .addLast(new ClientConnectionHandler(maxBodyBytes));
                    }
                });
    }

    /** Calls {@link #send(Address, HttpRequest, Duration, SendPrecondition)} without a precondition. */
    public HttpResponse send(Address address, HttpRequest request, Duration timeout)
            throws NotRunException, OutcomeUnknownException {
        return send(address, request, timeout, SendPrecondition.NONE);
    }

    /** Calls {@link #send(Address, HttpRequest, ExchangeTimeouts, SendPrecondition)} with a total timeout only. */
    public HttpResponse send(Address address, HttpRequest request, Duration timeout, SendPrecondition precondition)
            throws NotRunException, OutcomeUnknownException {
        return send(address, request, ExchangeTimeouts.total(timeout), precondition);
    }

    /** Calls {@link #send(Address, HttpRequest, ExchangeTimeouts, SendPrecondition)} without a precondition. */
    public HttpResponse send(Address address, HttpRequest request, ExchangeTimeouts timeouts)
            throws NotRunException, OutcomeUnknownException {
        return send(address, request, timeouts, SendPrecondition.NONE);
    }

    /**
     * Sends a request and waits for the complete response. A request is never sent twice.
     *
     * @param timeouts timeouts of the exchange
     * @param precondition checked on the event loop immediately before the first byte is written
     * @throws NotRunException if no byte was written
     * @throws OutcomeUnknownException if bytes were written and no complete response was received
     */
    public HttpResponse send(
            Address address, HttpRequest request, ExchangeTimeouts timeouts, SendPrecondition precondition)
            throws NotRunException, OutcomeUnknownException {
        requests.increment();
        long deadline = System.nanoTime() + timeouts.total().toNanos();
        Channel channel = idleConnections.take(address);
        while (channel != null) {
            Optional<HttpResponse> response =
                    exchange(channel, new PendingExchange(address, request, precondition), timeouts, deadline);
            if (response.isPresent()) {
                return response.get();
            }
            channel = idleConnections.take(address);
        }
        long connectDeadline =
                Math.min(deadline, System.nanoTime() + timeouts.idle().toNanos());
        return exchange(
                        connect(address, connectDeadline),
                        new PendingExchange(address, request, precondition),
                        timeouts,
                        deadline)
                .orElseThrow(() -> notRun(address, "connection closed before the request was written", null));
    }

    /** Returns the response, or empty if the connection was closed before any byte was written. */
    private Optional<HttpResponse> exchange(
            Channel channel, PendingExchange pending, ExchangeTimeouts timeouts, long deadline)
            throws NotRunException, OutcomeUnknownException {
        Address address = pending.address();
        ClientConnectionHandler handler = channel.pipeline().get(ClientConnectionHandler.class);
        if (handler == null) {
            return Optional.empty();
        }
        // Lies in the future if the server may delay the response, because no activity is expected until then.
        pending.setLastActivity(System.nanoTime() + timeouts.responseDelay().toNanos());
        try {
            handler.begin(channel, pending);
        } catch (RejectedExecutionException e) {
            throw notRun(address, "the client is closed", e);
        }
        try {
            HttpResponse response = await(channel, pending, timeouts.idle().toNanos(), deadline);
            if (pending.isReusable()) {
                idleConnections.put(address, channel);
            }
            return Optional.of(response);
        } catch (TimeoutException e) {
            pending.abandon(channel);
            throw pending.toException("timed out waiting for the complete response", e);
        } catch (InterruptedException e) {
            pending.abandon(channel);
            Thread.currentThread().interrupt();
            throw pending.toException("the wait was interrupted", e);
        } catch (ExecutionException e) {
            channel.close();
            if (e.getCause() instanceof ConnectionClosedException) {
                return Optional.empty();
            }
            throw pending.toException(String.valueOf(e.getCause().getMessage()), e.getCause());
        }
    }

    /** Waits for the result until the deadline, or until no byte has been received for {@code idleNanos}. */
    private static HttpResponse await(Channel channel, PendingExchange pending, long idleNanos, long deadline)
            throws InterruptedException, ExecutionException, TimeoutException {
        while (true) {
            long now = System.nanoTime();
            long remaining = Math.min(deadline - now, pending.lastActivity() + idleNanos - now);
            try {
                return pending.result().get(remaining, TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                if (System.nanoTime() - deadline >= 0) {
                    throw e;
                }
                if (System.nanoTime() - pending.lastActivity() >= idleNanos) {
                    awaitPendingReads(channel, pending, deadline);
                    if (!pending.result().isDone() && System.nanoTime() - pending.lastActivity() >= idleNanos) {
                        throw e;
                    }
                }
            }
        }
    }

    /**
     * Waits until the event loop has processed what has arrived. It may be late, for instance after the process was
     * paused, and has then received bytes that {@link PendingExchange#lastActivity} does not show.
     */
    private static void awaitPendingReads(Channel channel, PendingExchange pending, long deadline)
            throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<Void> processed = new CompletableFuture<>();
        Runnable afterReads = () -> processed.complete(null);
        try {
            // A task may run before reads that are due; one that its event loop schedules runs after them.
            channel.eventLoop().execute(() -> channel.eventLoop().schedule(afterReads, 1, TimeUnit.MILLISECONDS));
        } catch (RejectedExecutionException e) {
            // The client is closed and reads nothing any more.
            return;
        }
        CompletableFuture.anyOf(processed, pending.result()).get(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    /** Returns the number of bytes received from all addresses. */
    public long bytesReceived() {
        return traffic.bytesReceived();
    }

    /** Returns the number of bytes sent to all addresses. */
    public long bytesSent() {
        return traffic.bytesSent();
    }

    /** Returns the number of requests, including failed ones. */
    public long requestCount() {
        return requests.sum();
    }

    /** Closes the idle connections to an address. */
    public void closeIdle(Address address) {
        idleConnections.close(address);
    }

    /** Closes the client; exchanges in progress fail. */
    @Override
    public void close() {
        idleConnections.closeAll();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Channel connect(Address address, long deadline) throws NotRunException {
        long remaining = Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime()));
        Bootstrap connectBootstrap = bootstrap.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                Math.min(remaining, Integer.MAX_VALUE));
        ChannelFuture connectFuture;
        try {
            connectFuture = connectBootstrap.connect(new InetSocketAddress(address.ip(), address.port()));
        } catch (RuntimeException e) {
            throw notRun(address, String.valueOf(e.getMessage()), e);
        }
        try {
            Channel channel = connectFuture.sync().channel();
            idleConnections.removeOnClose(address, channel);
            return channel;
        } catch (InterruptedException e) {
            connectFuture.channel().close();
            Thread.currentThread().interrupt();
            throw notRun(address, "the wait was interrupted", e);
        } catch (Exception e) {
            throw notRun(address, String.valueOf(e.getMessage()), e);
        }
    }

    private static NotRunException notRun(Address address, String reason, Throwable cause) {
        return new NotRunException(
                "cannot reach " + address + ": " + reason, "check that the process is running", cause);
    }
}
