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
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.LongAdder;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/**
 * An HTTP/1.1 client that keeps connections open between requests. Safe for use by several threads; calls block and
 * suit virtual threads.
 *
 * <p>A kept connection that was closed by the other side before the first byte of a request is replaced by another one.
 *
 * <p>Invariants: a connection carries one exchange at a time; a connection whose exchange did not end with a whole
 * answer is closed and never used again; bytes that arrive outside an exchange close the connection; an answer whose end
 * is marked only by the end of the connection is not taken for whole.
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
    private static final int MAX_LINE_BYTES = 8 * 1024;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private final IdleConnections idle = new IdleConnections();
    private final Traffic traffic = new Traffic();
    private final LongAdder exchanges = new LongAdder();
    private final Bootstrap bootstrap;

    /**
     * Creates a client.
     *
     * @param maxBodyBytes most bytes of an answer's body; a longer answer is not whole
     */
    public HttpClient(int maxBodyBytes) {
        bootstrap = new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        HttpDecoderConfig config = new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_LINE_BYTES)
                                .setMaxHeaderSize(MAX_HEADER_BYTES);
                        channel.pipeline()
                                .addLast(traffic)
                                .addLast(new HttpClientCodec(config, false, true))
                                .addLast(new ClientExchange(maxBodyBytes));
                    }
                });
    }

    /** As {@link #send(Address, HttpRequest, Duration, SendGate)} without a gate. */
    public HttpResponse send(Address to, HttpRequest request, Duration timeout)
            throws NotRunException, OutcomeUnknownException {
        return send(to, request, timeout, SendGate.OPEN);
    }

    /** As {@link #send(Address, HttpRequest, Timeouts, SendGate)} with one bound for the whole exchange. */
    public HttpResponse send(Address to, HttpRequest request, Duration timeout, SendGate gate)
            throws NotRunException, OutcomeUnknownException {
        return send(to, request, Timeouts.total(timeout), gate);
    }

    /** As {@link #send(Address, HttpRequest, Timeouts, SendGate)} without a gate. */
    public HttpResponse send(Address to, HttpRequest request, Timeouts timeouts)
            throws NotRunException, OutcomeUnknownException {
        return send(to, request, timeouts, SendGate.OPEN);
    }

    /**
     * Sends a request and waits for the whole answer. Nothing is ever sent twice.
     *
     * @param timeouts bounds of the exchange
     * @param gate checked on the event loop right before the first byte is written
     * @throws NotRunException if no byte was written
     * @throws OutcomeUnknownException if bytes were written and no whole answer came
     */
    public HttpResponse send(Address to, HttpRequest request, Timeouts timeouts, SendGate gate)
            throws NotRunException, OutcomeUnknownException {
        exchanges.increment();
        long end = System.nanoTime() + timeouts.total().toNanos();
        Channel kept = idle.take(to);
        while (kept != null) {
            Optional<HttpResponse> response = exchange(kept, new PendingExchange(to, request, gate), timeouts, end);
            if (response.isPresent()) {
                return response.get();
            }
            kept = idle.take(to);
        }
        long connected = Math.min(end, System.nanoTime() + timeouts.silence().toNanos());
        return exchange(connect(to, connected), new PendingExchange(to, request, gate), timeouts, end)
                .orElseThrow(() -> notRun(to, "connection was closed before the request", null));
    }

    /** The answer, or nothing if the connection had been closed before any byte was written. */
    private Optional<HttpResponse> exchange(Channel channel, PendingExchange pending, Timeouts timeouts, long end)
            throws NotRunException, OutcomeUnknownException {
        Address to = pending.to();
        ClientExchange exchange = channel.pipeline().get(ClientExchange.class);
        if (exchange == null) {
            return Optional.empty();
        }
        pending.received(System.nanoTime() + timeouts.held().toNanos());
        try {
            exchange.begin(channel, pending);
        } catch (RejectedExecutionException e) {
            throw notRun(to, "the client is closed", e);
        }
        try {
            HttpResponse response = await(pending, timeouts.silence().toNanos(), end);
            if (pending.reusable()) {
                idle.put(to, channel);
            }
            return Optional.of(response);
        } catch (TimeoutException e) {
            pending.abandon(channel);
            throw pending.failure("no whole answer in time", e);
        } catch (InterruptedException e) {
            pending.abandon(channel);
            Thread.currentThread().interrupt();
            throw pending.failure("the wait was interrupted", e);
        } catch (ExecutionException e) {
            channel.close();
            if (e.getCause() instanceof ClosedEarlyException) {
                return Optional.empty();
            }
            throw pending.failure(String.valueOf(e.getCause().getMessage()), e.getCause());
        }
    }

    /** Waits until the end, or until no byte has come for {@code silence} ns. */
    private static HttpResponse await(PendingExchange pending, long silence, long end)
            throws InterruptedException, ExecutionException, TimeoutException {
        while (true) {
            long now = System.nanoTime();
            long left = Math.min(end - now, pending.received() + silence - now);
            try {
                return pending.result().get(left, TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                long over = System.nanoTime();
                if (over - end >= 0 || over - pending.received() >= silence) {
                    throw e;
                }
            }
        }
    }

    /** Bytes received from all addresses so far. */
    public long bytesIn() {
        return traffic.in();
    }

    /** Bytes given to the network for all addresses so far. */
    public long bytesOut() {
        return traffic.out();
    }

    /** Requests so far, including those that failed. */
    public long exchanges() {
        return exchanges.sum();
    }

    /** Closes the connections to an address that carry no exchange. */
    public void closeIdle(Address to) {
        idle.close(to);
    }

    /** Closes everything; exchanges under way fail. */
    @Override
    public void close() {
        idle.closeAll();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Channel connect(Address to, long end) throws NotRunException {
        long left = Math.max(1, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime()));
        Bootstrap connecting =
                bootstrap.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.min(left, Integer.MAX_VALUE));
        ChannelFuture connected;
        try {
            connected = connecting.connect(new InetSocketAddress(to.ip(), to.port()));
        } catch (RuntimeException e) {
            throw notRun(to, String.valueOf(e.getMessage()), e);
        }
        try {
            Channel channel = connected.sync().channel();
            idle.watch(to, channel);
            return channel;
        } catch (InterruptedException e) {
            connected.channel().close();
            Thread.currentThread().interrupt();
            throw notRun(to, "the wait was interrupted", e);
        } catch (Exception e) {
            throw notRun(to, String.valueOf(e.getMessage()), e);
        }
    }

    private static NotRunException notRun(Address to, String why, Throwable cause) {
        return new NotRunException("cannot reach " + to + ": " + why, "check that the process runs", cause);
    }
}
