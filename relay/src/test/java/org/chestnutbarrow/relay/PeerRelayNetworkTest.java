package org.chestnutbarrow.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.TaskName;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.node.RelayEndpoint;
import org.chestnutbarrow.node.RelayNetwork;
import org.chestnutbarrow.node.WorkerPort;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests calls through relays over loopback connections. */
public class PeerRelayNetworkTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("zone");
    /** Long enough for a loaded machine; no test waits until it ends. */
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private static final TaskName TASK = new TaskName(new JobId("a"), 0, 0);
    private static final WorkerRegistration WORKER = new WorkerRegistration(
            new WorkerId("w1"), 5, new Address("127.0.0.1", 1), "service", ZONE, Set.of(), Resources.NONE, false);
    private static final Order START = new Order.Start(TASK, 1, WORKER.id(), 5, "ignored", "checkpoint");

    private final List<PeerRelayNetwork> networks = new ArrayList<>();
    private volatile Optional<RelayNetwork.RelayOwner> owner;
    private RecordingPort ownerPort;
    private RecordingPort relayPort;
    private PeerRelayNetwork ownerNetwork;

    /** Calls workers without a network; records the orders. */
    private static final class RecordingPort implements WorkerPort {
        final List<Order> orders = new CopyOnWriteArrayList<>();
        volatile boolean silent;
        volatile boolean failing;

        @Override
        public Answer send(WorkerRegistration worker, Order order, long token, long leaseUntilMs, Duration timeout)
                throws OutcomeUnknownException {
            orders.add(order);
            if (failing) {
                throw new IllegalStateException("unexpected");
            }
            if (silent) {
                throw new OutcomeUnknownException("no answer", "repeat it");
            }
            return new Done(leaseUntilMs);
        }

        @Override
        public Answer hold(
                WorkerRegistration worker,
                long token,
                long leaseUntilMs,
                long acknowledged,
                Duration wait,
                Duration timeout) {
            return new StatusReport(
                    new WorkerReport(worker.id(), worker.incarnation(), List.of(), List.of()), acknowledged);
        }
    }

    private final class Host implements RelayNetwork.Host {
        @Override
        public Optional<RelayNetwork.RelayOwner> owner() {
            return owner;
        }

        @Override
        public Optional<String> payload(JobId job, Duration timeout) {
            return job.equals(TASK.job()) ? Optional.of("payload of a") : Optional.empty();
        }
    }

    @BeforeMethod
    public void setUp() throws InvalidInputException {
        owner = Optional.of(new RelayNetwork.RelayOwner("owner", 7, "key"));
        ownerPort = new RecordingPort();
        relayPort = new RecordingPort();
        ownerNetwork = start("owner", ownerPort);
        PeerRelayNetwork relay = start("relay", relayPort);
        ownerNetwork.setRelays(Map.of("relay", new RelayEndpoint(ZONE, relay.address())));
        assertTrue(ownerNetwork.use(true));
    }

    private PeerRelayNetwork start(String node, WorkerPort port) throws InvalidInputException {
        PeerRelayNetwork network = PeerRelayNetwork.start(node, new Address("127.0.0.1", 0), port, TimeSource.SYSTEM);
        network.attach(new Host());
        networks.add(network);
        return network;
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() {
        networks.forEach(PeerRelayNetwork::close);
        networks.clear();
    }

    @Test
    public void relayAddsThePayloadOfTheJob() throws NotRunException, OutcomeUnknownException {
        assertEquals(ownerNetwork.send(WORKER, START, 7, 99, TIMEOUT), new WorkerPort.Done(99));
        assertEquals(relayPort.orders, List.of(new Order.Start(TASK, 1, WORKER.id(), 5, "payload of a", "checkpoint")));
        assertEquals(ownerPort.orders, List.of());
    }

    @Test
    public void holdReturnsTheReportOfTheWorker() throws NotRunException, OutcomeUnknownException {
        WorkerPort.Answer answer = ownerNetwork.hold(WORKER, 7, -1, 4, Duration.ZERO, TIMEOUT);
        assertEquals(answer, new WorkerPort.StatusReport(new WorkerReport(WORKER.id(), 5, List.of(), List.of()), 4));
    }

    /** Guards against a start without the content that the caller has submitted. */
    @Test
    public void startOfAnUnknownJobIsNotSent() {
        Order unknown = new Order.Start(new TaskName(new JobId("b"), 0, 0), 1, WORKER.id(), 5, "", "");
        assertThrows(NotRunException.class, () -> ownerNetwork.send(WORKER, unknown, 7, 99, TIMEOUT));
        assertEquals(relayPort.orders, List.of());
    }

    /** Guards against a start that is reported as not run although the worker may still carry it out. */
    @Test
    public void silentWorkerIsReportedAsUnknown() {
        relayPort.silent = true;
        assertThrows(OutcomeUnknownException.class, () -> ownerNetwork.send(WORKER, START, 7, 99, TIMEOUT));
    }

    /** Guards against a start that counts as not sent although the relay failed after it had sent it. */
    @Test
    public void failedRelayIsReportedAsUnknown() {
        relayPort.failing = true;
        assertThrows(OutcomeUnknownException.class, () -> ownerNetwork.send(WORKER, START, 7, 99, TIMEOUT));
    }

    /** Guards against orders of a former owner around a change of the owner. */
    @Test
    public void callsOfAFormerOwnerAreRefused() throws NotRunException, OutcomeUnknownException {
        ownerNetwork.send(WORKER, START, 7, 99, TIMEOUT);
        owner = Optional.of(new RelayNetwork.RelayOwner("next", 8, "next key"));
        assertEquals(
                ownerNetwork.send(WORKER, START, 7, 99, TIMEOUT), new WorkerPort.Refused(WorkerPort.Refusal.FENCED));
        assertEquals(relayPort.orders.size(), 1);
    }

    /** Guards against processes other than the current owner that send orders. */
    @Test
    public void onlyTheCurrentOwnerIsAccepted() throws InvalidInputException {
        PeerRelayNetwork other = start("other", new RecordingPort());
        other.setRelays(Map.of("relay", new RelayEndpoint(ZONE, networks.get(1).address())));
        other.use(true);
        assertThrows(NotRunException.class, () -> other.send(WORKER, START, 7, 99, TIMEOUT));
        assertEquals(relayPort.orders, List.of());
    }

    @Test
    public void withoutRelaysTheOwnerCallsDirectly() throws NotRunException, OutcomeUnknownException {
        ownerNetwork.setRelays(Map.of());
        assertFalse(ownerNetwork.use(true));
        ownerNetwork.send(WORKER, START, 7, 99, TIMEOUT);
        assertEquals(ownerPort.orders, List.of(START));
    }
}
