package org.chestnutbarrow.soak;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.chestnutbarrow.http.HttpRequest;

/** Carries out the faults of a schedule, each on a thread of its own. Thread-safe; decides nothing. */
final class FaultInjector implements AutoCloseable {
    private static final Logger log = System.getLogger(FaultInjector.class.getName());
    /** Time before a restart in which calls become late; a worker gets at least one hold in this time. */
    private static final Duration LATE_CALLS = Duration.ofMillis(600);

    private static final String APPEND = "/-/log-append";

    private final Store store;
    private final List<DisturbedHandler> storeCalls;
    private final List<NodeProcess> nodes;
    private final List<WorkerStandIn> workers;
    private final AtomicInteger unorderedLists;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

    /** Creates an injector; {@code storeCalls} are those of each node, {@code unorderedLists} counts the faults under which workers list ends in any order. */
    FaultInjector(
            Store store,
            List<DisturbedHandler> storeCalls,
            List<NodeProcess> nodes,
            List<WorkerStandIn> workers,
            AtomicInteger unorderedLists) {
        this.store = store;
        this.storeCalls = List.copyOf(storeCalls);
        this.nodes = List.copyOf(nodes);
        this.workers = List.copyOf(workers);
        this.unorderedLists = unorderedLists;
    }

    /** Starts the schedule now. */
    void start(List<Fault.Timed> schedule) {
        for (Fault.Timed timed : schedule) {
            threads.submit(() -> run(timed));
        }
    }

    private void run(Fault.Timed timed) {
        try {
            Thread.sleep(timed.from());
            inject(timed.fault(), timed.length());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | RuntimeException e) {
            log.log(Level.ERROR, "event=fault-failed fault=" + timed, e);
        }
    }

    /** Waits until all faults are over. */
    void await() {
        threads.close();
    }

    private void inject(Fault fault, Duration length) throws IOException, InterruptedException {
        switch (fault) {
            case Fault.StoreCalls calls -> {
                List<Runnable> lifts = side(calls.side()).stream()
                        .map(handler -> handler.disturb(scope(calls.scope()), calls.disturbance()))
                        .toList();
                Thread.sleep(length);
                lifts.forEach(Runnable::run);
            }
            case Fault.Reassignment _ -> store.group().reassignAll();
            case Fault.HistoryDrop _ -> store.dropHistory();
            case Fault.NodeKill kill -> {
                NodeProcess node = node(kill.node());
                node.kill();
                Thread.sleep(length);
                node.start();
            }
            case Fault.NodeStop stop -> {
                NodeProcess node = node(stop.node());
                node.stop();
                Thread.sleep(length);
                node.start();
            }
            case Fault.NodePause pause -> {
                NodeProcess node = node(pause.node());
                node.pause();
                Thread.sleep(length);
                node.resume();
            }
            case Fault.WorkerRestart restart -> restart(workers.get(restart.worker()), length, restart.listedAfter());
            case Fault.RestartWithLateCalls restart -> {
                WorkerStandIn worker = workers.get(restart.worker());
                Runnable lift = worker.handler().disturb(_ -> true, new Disturbance.Late(1, restart.lateBy()));
                Thread.sleep(LATE_CALLS);
                lift.run();
                restart(worker, length, restart.listedAfter());
            }
            case Fault.WorkerCalls calls -> {
                Runnable lift = workers.get(calls.worker()).handler().disturb(_ -> true, calls.disturbance());
                Thread.sleep(length);
                lift.run();
            }
            case Fault.EndsUnordered _ -> {
                unorderedLists.incrementAndGet();
                Thread.sleep(length);
                unorderedLists.decrementAndGet();
            }
        }
    }

    private static void restart(WorkerStandIn worker, Duration down, Duration listedAfter) throws InterruptedException {
        worker.goDown();
        Thread.sleep(down);
        worker.goUp();
        Thread.sleep(listedAfter);
        worker.list();
    }

    private NodeProcess node(int index) {
        if (index != Fault.OWNER) {
            return nodes.get(index);
        }
        Optional<String> owner = store.owner();
        return nodes.stream()
                .filter(node -> owner.filter(member -> member.startsWith(node.name() + "-"))
                        .isPresent())
                .findFirst()
                .orElse(nodes.getFirst());
    }

    private List<DisturbedHandler> side(Fault.Side side) {
        DisturbedHandler owner = storeCalls.get(nodes.indexOf(node(Fault.OWNER)));
        return switch (side) {
            case EVERYBODY -> storeCalls;
            case OWNER -> List.of(owner);
            case OTHERS -> storeCalls.stream().filter(calls -> calls != owner).toList();
        };
    }

    private static Predicate<HttpRequest> scope(Fault.StoreScope scope) {
        return switch (scope) {
            case PROGRESS_APPENDS -> request -> isAppend(request) && isOf(Store.PROGRESS, request);
            case JOB_APPENDS -> request -> isAppend(request) && isOf(Store.JOBS, request);
            case APPENDS -> FaultInjector::isAppend;
            case PROGRESS_READS -> request -> !isAppend(request) && isOf(Store.PROGRESS, request);
            case JOB_READS -> request -> !isAppend(request) && isOf(Store.JOBS, request);
            case GROUP -> request -> request.query("topic", "").isEmpty();
            case ALL -> _ -> true;
        };
    }

    private static boolean isAppend(HttpRequest request) {
        return request.path().equals(APPEND);
    }

    private static boolean isOf(String topic, HttpRequest request) {
        return request.query("topic", "").equals(topic);
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
