package org.chestnutbarrow.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.node.RelayEndpoint;
import org.chestnutbarrow.node.RelayNetwork;
import org.chestnutbarrow.node.WorkerPort;
import org.chestnutbarrow.peer.NettyPeerLink;
import org.chestnutbarrow.peer.PeerAccess;
import org.chestnutbarrow.peer.PeerMessage;

/**
 * The relays of a node, and its own service as a relay. As a {@link WorkerPort} it calls workers through relays while
 * they are used, and directly otherwise. Safe for use by several threads; the set of connected relays is guarded by the
 * monitor of this object.
 *
 * <p>Invariants: a call is made by at most one relay; a call that a relay may have received is never reported as not
 * sent unless the relay says so.
 */
public final class PeerRelayNetwork implements RelayNetwork, WorkerPort, AutoCloseable {
    /** Time for the way to the relay and back, beyond the time that the relay waits for the worker. */
    private static final Duration RELAY_MARGIN = Duration.ofMillis(250);

    private final WorkerPort direct;
    private final TimeSource time;
    private final RelayService service;
    private final RelaySelector selector = new RelaySelector();
    private final NettyPeerLink link;
    private final Set<String> connected = new HashSet<>();
    private volatile boolean used;

    private PeerRelayNetwork(String node, Address bind, WorkerPort direct, TimeSource time)
            throws InvalidInputException {
        this.direct = direct;
        this.time = time;
        this.service = new RelayService(direct);
        PeerAccess access = new PeerAccess(this::key, peer -> service.isOwner(peer.value()));
        this.link = NettyPeerLink.start(new DaemonId(node), time.now().toEpochMilli(), bind, access, service);
    }

    /**
     * Binds and starts to serve owners.
     *
     * @param node name of this node
     * @param bind address at which owners are served; port 0 selects a free port
     * @param direct calls workers directly
     * @throws InvalidInputException if the address cannot be bound
     */
    public static PeerRelayNetwork start(String node, Address bind, WorkerPort direct, TimeSource time)
            throws InvalidInputException {
        return new PeerRelayNetwork(node, bind, direct, time);
    }

    /** Returns the address at which owners are served. */
    public Address address() {
        return link.address();
    }

    /** Owners store a new key with each term, so that a former owner is not accepted any more. */
    private byte[] key() {
        return service.owner().map(RelayOwner::key).orElse("").getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void attach(Host host) {
        service.attach(host);
    }

    @Override
    public synchronized void setRelays(Map<String, RelayEndpoint> relays) {
        selector.setRelays(relays, time.nanos());
        for (String gone : Set.copyOf(connected)) {
            if (!relays.containsKey(gone)) {
                connected.remove(gone);
                link.disconnect(new DaemonId(gone));
            }
        }
        relays.forEach((name, endpoint) -> {
            connected.add(name);
            link.connect(new DaemonId(name), endpoint.address());
        });
    }

    @Override
    public synchronized boolean use(boolean wanted) {
        boolean next = wanted && !connected.isEmpty();
        if (next != used) {
            Events.info("relays-switched", "used", next, "relays", connected.size());
        }
        used = next;
        return next;
    }

    @Override
    public Answer send(WorkerRegistration worker, Order order, long token, long leaseUntilMs, Duration timeout)
            throws NotRunException, OutcomeUnknownException {
        Optional<String> relay = chooseRelay(worker);
        return relay.isEmpty()
                ? direct.send(worker, order, token, leaseUntilMs, timeout)
                : call(
                        relay.get(),
                        new RelayCall.Deliver(RelayCall.Target.of(worker), order, token, leaseUntilMs, timeout));
    }

    @Override
    public Answer hold(
            WorkerRegistration worker,
            long token,
            long leaseUntilMs,
            long acknowledged,
            Duration wait,
            Duration timeout)
            throws NotRunException, OutcomeUnknownException {
        Optional<String> relay = chooseRelay(worker);
        return relay.isEmpty()
                ? direct.hold(worker, token, leaseUntilMs, acknowledged, wait, timeout)
                : call(
                        relay.get(),
                        new RelayCall.Hold(
                                RelayCall.Target.of(worker), token, leaseUntilMs, acknowledged, wait, timeout));
    }

    private Optional<String> chooseRelay(WorkerRegistration worker) {
        return used ? selector.choose(worker.id(), worker.zone(), time.nanos()) : Optional.empty();
    }

    private Answer call(String relay, RelayCall call) throws NotRunException, OutcomeUnknownException {
        PeerMessage response;
        try {
            response = link.call(
                    new DaemonId(relay),
                    new PeerMessage.Custom(RelayCodec.encode(call)),
                    call.timeout().plus(RELAY_MARGIN));
        } catch (NotRunException | OutcomeUnknownException e) {
            if (selector.failed(relay, time.nanos())) {
                Events.warn("relay-suspended", "relay", relay, "cause", e.getMessage());
            }
            throw e;
        }
        selector.answered(relay, time.nanos());
        return switch (decode(response)) {
            case RelayResult.Answered(Answer answer) -> answer;
            case RelayResult.NotSent(String reason) -> {
                selector.workerUnreachable(call.target().worker());
                throw new NotRunException("relay " + relay + ": " + reason, "try again");
            }
            case RelayResult.Unanswered(String reason) -> {
                selector.workerUnreachable(call.target().worker());
                throw new OutcomeUnknownException("relay " + relay + ": " + reason, "repeat the call");
            }
        };
    }

    private static RelayResult decode(PeerMessage response) throws OutcomeUnknownException {
        return switch (response) {
            case PeerMessage.Custom(byte[] content) -> {
                try {
                    yield RelayCodec.decodeResult(content);
                } catch (InvalidInputException e) {
                    throw new OutcomeUnknownException(e.getMessage(), "repeat the call", e);
                }
            }
            // The relay may have failed after the worker had received the call.
            case PeerMessage.Failure(String reason) -> new RelayResult.Unanswered(reason);
            default -> new RelayResult.Unanswered("unexpected response");
        };
    }

    /** Closes all connections; calls in progress fail. */
    @Override
    public void close() {
        link.close();
    }
}
