package org.chestnutbarrow.standin;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.http.HttpLimits;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.http.HttpServer;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.InvalidInputException;

/**
 * A TCP proxy with fault injection that forwards any number of listen addresses to their targets. Thread-safe.
 *
 * <pre>{@code
 * try (FaultProxy proxy = FaultProxy.start(Address.parse("127.0.0.1:0"))) {
 *     Address listen = proxy.addPair("log", log.address());
 *     proxy.setFault("log", new ProxyFault.Delay(50));
 * }
 * }</pre>
 */
public final class FaultProxy implements AutoCloseable {
    private static final int EVENT_LOOP_THREADS = 2;
    private static final Address ANY_PORT = Address.parse("127.0.0.1:0");

    private final EventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, ProxyPair> pairs = new TreeMap<>();
    private final HttpServer server;

    private FaultProxy(Address bind) throws InvalidInputException {
        try {
            server = HttpServer.start(bind, HttpLimits.DEFAULT, Json.rejectMalformedInput(this::handle));
        } catch (InvalidInputException e) {
            eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw e;
        }
    }

    /**
     * Starts a proxy without pairs.
     *
     * @param bind address of the fault injection API; port 0 selects an ephemeral port
     * @throws InvalidInputException if the address cannot be bound
     */
    public static FaultProxy start(Address bind) throws InvalidInputException {
        return new FaultProxy(bind);
    }

    /** Address of the fault injection API. */
    public Address address() {
        return server.address();
    }

    /**
     * Adds a pair. If the name exists, changes the target for new connections of that pair instead.
     *
     * @return the listen address of the pair
     * @throws InvalidInputException if the listen address cannot be bound
     */
    public Address addPair(String name, Address target) throws InvalidInputException {
        Checks.identifier("pair name", name);
        lock.lock();
        try {
            ProxyPair pair = pairs.get(name);
            if (pair == null) {
                pair = new ProxyPair(eventLoops, ANY_PORT, target);
                pairs.put(name, pair);
            }
            pair.setTarget(target);
            return pair.listen();
        } finally {
            lock.unlock();
        }
    }

    /** Replaces the fault of a pair. */
    public void setFault(String name, ProxyFault fault) {
        lock.lock();
        try {
            ProxyPair pair = pairs.get(name);
            Checks.require(pair != null, "unknown pair " + name + "; GET /v1/pairs lists all pairs");
            pair.setFault(fault);
        } finally {
            lock.unlock();
        }
    }

    /** Returns all pairs by name. */
    public Map<String, Pair> pairs() {
        lock.lock();
        try {
            Map<String, Pair> result = new TreeMap<>();
            pairs.forEach((name, pair) -> result.put(
                    name, new Pair(pair.listen().toString(), pair.target().toString())));
            return result;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() {
        server.close();
        lock.lock();
        try {
            pairs.values().forEach(ProxyPair::close);
        } finally {
            lock.unlock();
        }
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private HttpResponse handle(HttpRequest request) throws Exception {
        return switch (request.method() + " " + request.path()) {
            case "GET /v1/pairs" -> Json.response(200, pairs());
            case "POST /v1/pairs" -> {
                NewPair pair = Json.parse(request, NewPair.class);
                yield Json.response(
                        200,
                        Map.of(
                                "listen",
                                addPair(pair.name(), Address.parse(pair.target()))
                                        .toString()));
            }
            case "POST /v1/faults" -> {
                setFault(request.query("pair", ""), Json.parse(request, ProxyFault.class));
                yield Json.ok();
            }
            default -> Json.error(404, "no such path");
        };
    }

    /**
     * Addresses of a pair, {@code IP:PORT}.
     *
     * @param listen address on which connections are accepted
     * @param target address to which they are forwarded
     */
    public record Pair(String listen, String target) {}

    /** Body of {@code POST /v1/pairs}. */
    record NewPair(String name, String target) {
        NewPair {
            Checks.require(target != null, "target is required");
        }
    }
}
