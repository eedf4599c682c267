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
 * A TCP proxy that injects faults, with many pairs of a listen address and a target. Safe for use by several threads.
 *
 * <pre>{@code
 * try (FaultProxy proxy = FaultProxy.start(Address.parse("127.0.0.1:0"))) {
 *     Address listen = proxy.add("log", log.address());
 *     proxy.set("log", new ProxyFault.Delay(50));
 * }
 * }</pre>
 */
public final class FaultProxy implements AutoCloseable {
    private static final int EVENT_LOOPS = 2;
    private static final Address ANY_PORT = Address.parse("127.0.0.1:0");

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, ProxyPair> pairs = new TreeMap<>();
    private final HttpServer server;

    private FaultProxy(Address bind) throws InvalidInputException {
        try {
            server = HttpServer.start(bind, HttpLimits.DEFAULT, Json.checked(this::handle));
        } catch (InvalidInputException e) {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw e;
        }
    }

    /**
     * Starts a proxy without pairs.
     *
     * @param bind where faults are switched; port 0 lets the system choose
     * @throws InvalidInputException if the address cannot be bound
     */
    public static FaultProxy start(Address bind) throws InvalidInputException {
        return new FaultProxy(bind);
    }

    /** Where faults are switched. */
    public Address address() {
        return server.address();
    }

    /**
     * Adds a pair, or gives a pair another target for its new connections.
     *
     * @return where the pair listens
     * @throws InvalidInputException if it cannot listen
     */
    public Address add(String name, Address target) throws InvalidInputException {
        Checks.identifier("pair name", name);
        lock.lock();
        try {
            ProxyPair pair = pairs.get(name);
            if (pair == null) {
                pair = new ProxyPair(loops, ANY_PORT, target);
                pairs.put(name, pair);
            }
            pair.retarget(target);
            return pair.listen();
        } finally {
            lock.unlock();
        }
    }

    /** Sets the fault of a pair in place of its last one. */
    public void set(String name, ProxyFault fault) {
        lock.lock();
        try {
            ProxyPair pair = pairs.get(name);
            Checks.require(pair != null, "no pair " + name + "; GET /v1/pairs lists them");
            pair.set(fault);
        } finally {
            lock.unlock();
        }
    }

    /** All pairs by name. */
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
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private HttpResponse handle(HttpRequest request) throws Exception {
        return switch (request.method() + " " + request.path()) {
            case "GET /v1/pairs" -> Json.answer(200, pairs());
            case "POST /v1/pairs" -> {
                NewPair pair = Json.read(request, NewPair.class);
                yield Json.answer(
                        200,
                        Map.of(
                                "listen",
                                add(pair.name(), Address.parse(pair.target())).toString()));
            }
            case "POST /v1/faults" -> {
                set(request.query("pair", ""), Json.read(request, ProxyFault.class));
                yield Json.ok();
            }
            default -> Json.error(404, "no such path");
        };
    }

    /**
     * Addresses of a pair, {@code IP:PORT}.
     *
     * @param listen where it accepts
     * @param target where it connects to
     */
    public record Pair(String listen, String target) {}

    /** Body of {@code POST /v1/pairs}. */
    record NewPair(String name, String target) {
        NewPair {
            Checks.require(target != null, "a pair needs a target");
        }
    }
}
