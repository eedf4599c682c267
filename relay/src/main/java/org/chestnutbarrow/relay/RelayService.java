package org.chestnutbarrow.relay;

import java.time.Duration;
import java.util.Optional;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.node.RelayNetwork.Host;
import org.chestnutbarrow.node.RelayNetwork.RelayOwner;
import org.chestnutbarrow.node.WorkerPort;
import org.chestnutbarrow.peer.PeerHandler;
import org.chestnutbarrow.peer.PeerMessage;

/**
 * Makes the calls that owners ask for. Thread-safe: it keeps no state between calls.
 *
 * <p>Invariant: a call under an older token than that of the owner recorded last is not made.
 */
final class RelayService implements PeerHandler {
    /** Time for reading a job that this node has not received yet; a job is stored before it is started. */
    private static final Duration PAYLOAD_TIMEOUT = Duration.ofMillis(400);

    private final WorkerPort port;
    private volatile Optional<Host> host = Optional.empty();

    RelayService(WorkerPort port) {
        this.port = port;
    }

    void attach(Host newHost) {
        host = Optional.of(newHost);
    }

    Optional<RelayOwner> owner() {
        return host.flatMap(Host::owner);
    }

    /** Returns whether the owner that was recorded last runs on this node. */
    boolean isOwner(String node) {
        return owner().filter(owner -> owner.node().equals(node)).isPresent();
    }

    @Override
    public PeerMessage handle(DaemonId from, PeerMessage request) {
        if (!(request instanceof PeerMessage.Custom(byte[] content))) {
            return new PeerMessage.Failure("not a call to a worker");
        }
        try {
            return new PeerMessage.Custom(RelayCodec.encode(execute(RelayCodec.decodeCall(content))));
        } catch (InvalidInputException e) {
            return new PeerMessage.Failure(e.getMessage());
        }
    }

    private RelayResult execute(RelayCall call) {
        if (owner().filter(owner -> owner.token() > call.token()).isPresent()) {
            return new RelayResult.Answered(new WorkerPort.Refused(WorkerPort.Refusal.FENCED));
        }
        WorkerRegistration worker = call.target().toRegistration();
        try {
            return new RelayResult.Answered(
                    switch (call) {
                        case RelayCall.Hold hold ->
                            port.hold(
                                    worker,
                                    hold.token(),
                                    hold.leaseUntilMs(),
                                    hold.acknowledged(),
                                    hold.answerDelay(),
                                    hold.timeout());
                        case RelayCall.Deliver deliver ->
                            port.send(
                                    worker,
                                    withPayload(deliver.order()),
                                    deliver.token(),
                                    deliver.leaseUntilMs(),
                                    deliver.timeout());
                    });
        } catch (NotRunException e) {
            return new RelayResult.NotSent(e.getMessage());
        } catch (OutcomeUnknownException e) {
            return new RelayResult.Unanswered(e.getMessage());
        }
    }

    private Order withPayload(Order order) throws NotRunException {
        if (!(order instanceof Order.Start start)) {
            return order;
        }
        Host node = host.orElseThrow(() -> new NotRunException("the relay is starting", "try again"));
        String payload = node.payload(start.task().job(), PAYLOAD_TIMEOUT)
                .orElseThrow(() -> new NotRunException("job " + start.task().job() + " is unknown", "try again"));
        return new Order.Start(
                start.task(), start.run(), start.worker(), start.incarnation(), payload, start.checkpoint());
    }

    @Override
    public void receive(DaemonId from, PeerMessage message) {
        // Owners send no one-way messages.
    }
}
