package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.Estimates;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.Plan;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TimeSource;

/**
 * One term of ownership of the workers. A term begins when earlier owners can no longer store progress and ends when a
 * newer owner stores some. Safe for use by several threads.
 *
 * <p>Invariant: no order is sent and no end of a run is acknowledged before the progress that describes it is stored
 * under the epoch of this term.
 */
final class OwnershipTerm implements Owner {
    /** Maximum time between two plans, so that waiting tasks are placed once a worker becomes usable again. */
    private static final Duration PLAN_INTERVAL = Duration.ofMillis(200);
    /** Maximum time without the store during which leases are still extended. Covers expected outages of 9 s. */
    private static final Duration MAX_EXTENSION_WITHOUT_STORE = Duration.ofSeconds(12);
    /**
     * Without the store, leases are extended only while a majority of the workers has answered within this time. A
     * newer owner also needs answers from a majority, so the two majorities share a worker that reports the newer
     * token.
     */
    static final Duration ANSWER_WINDOW = Duration.ofMillis(1500);
    /** Covers an earlier owner that paused for less than a lease and then extended leases once more. */
    private static final Duration MAX_OWNER_PAUSE = Duration.ofMillis(1200);

    private final long token;
    private final WorkerPort port;
    private final JobReplica replica;
    private final TimeSource time;
    private final Duration maxLease;
    private final HoldControl holds;
    private final NodeMetrics metrics;
    private final InputAge inputAge;
    private final PermissionTime permissionTime;
    private final TermStorage storage;
    private final LeaseTracker leases;
    private final ThreadDelayEstimator threadDelayEstimator = new ThreadDelayEstimator();
    private final BatchScheduler scheduler;
    private final TermJobs jobs;
    private final EndedJobCleaner endedJobCleaner;
    private final WorkerLinks links;
    private final List<Thread> threads = new ArrayList<>();
    private final Semaphore planSignal = new Semaphore(0);
    /** Accessed only by the planning thread. */
    private final PlanRateLimiter planRateLimiter = new PlanRateLimiter();

    private final EstimateSchedule estimateSchedule;
    private final SensitivityWriter sensitivityWriter;
    private final PlanExecutor planExecutor;

    private final StartWindow startWindow;
    /** Accessed only by the thread that renews the membership. */
    private final HandoverPolicy handoverPolicy = new HandoverPolicy();

    private final AtomicBoolean active = new AtomicBoolean(true);
    private final CountDownLatch planningEnded = new CountDownLatch(1);
    /** What the next owner has to know of leases; present from the call of {@link #close} on. */
    private volatile Optional<Map<TaskRecord.WorkerIncarnation, Duration>> remainingLeases = Optional.empty();
    /** Whether a majority of the workers has answered under this token; accessed only by the planning thread. */
    private boolean majorityAnswered;

    /**
     * Creates a term that is not started yet.
     *
     * @param token fencing token of this term
     * @param permissionTime measures the age of confirmations and inputs
     * @param inputsAge age of the oldest copy among those of jobs, workers and declarations
     */
    OwnershipTerm(
            long token,
            StateStore store,
            WorkerPort port,
            JobReplica replica,
            PermissionTime permissionTime,
            NodeSettings settings,
            RelayNetwork relays,
            NodeMetrics metrics,
            Supplier<Duration> inputsAge) {
        this.token = token;
        this.storage = new TermStorage(token, store, replica, permissionTime);
        this.inputAge = new InputAge(token, inputsAge);
        this.port = port;
        this.replica = replica;
        this.permissionTime = permissionTime;
        this.time = permissionTime.source();
        this.maxLease = settings.maxLease();
        this.holds = new HoldControl(settings.capacity(), relays);
        this.metrics = metrics;
        this.scheduler = new BatchScheduler(time);
        this.estimateSchedule = new EstimateSchedule(scheduler, time);
        this.startWindow = new StartWindow(time);
        Duration maxSilence =
                ANSWER_WINDOW.plus(MAX_OWNER_PAUSE).plus(LeaseTimes.upperBound(LeaseTimes.requested(maxLease)));
        this.leases =
                new LeaseTracker(time, maxSilence, maxLease, store.limits().maxValueBytes(JobReplica.SILENCES_KEY));
        this.links = new WorkerLinks(scheduler, leases, this::openLink, time, MAX_EXTENSION_WITHOUT_STORE);
        this.jobs = new TermJobs(token, scheduler, replica, metrics);
        this.endedJobCleaner = new EndedJobCleaner(store, replica, time, token);
        this.sensitivityWriter = new SensitivityWriter(store, replica, token);
        this.planExecutor = new PlanExecutor(
                this,
                new PlanExecutor.Parts(
                        scheduler,
                        storage,
                        store.limits(),
                        jobs,
                        leases,
                        links,
                        endedJobCleaner,
                        estimateSchedule,
                        sensitivityWriter),
                metrics,
                time);
    }

    @Override
    public long token() {
        return token;
    }

    @Override
    public boolean active() {
        return active.get();
    }

    @Override
    public boolean extendLeases(TaskRecord.WorkerIncarnation incarnation, long until) {
        Duration unconfirmed = storage.confirmationAge();
        return active.get()
                && unconfirmed.compareTo(MAX_EXTENSION_WITHOUT_STORE) < 0
                && (unconfirmed.compareTo(ANSWER_WINDOW) < 0
                        || links.majorityWithClosed(link -> link.hasAnsweredWithin(ANSWER_WINDOW)))
                && leases.extend(incarnation, until);
    }

    @Override
    public void runEnded(WorkerReport.EndKind kind) {
        metrics.runEnded(kind);
    }

    @Override
    public void recordOrderWait(Duration wait) {
        metrics.recordOrderWait(wait);
    }

    @Override
    public void recordStartWait(Duration wait) {
        if (startWindow.record(wait)) {
            wake();
        }
    }

    @Override
    public void recordHoldDelay(Duration delay) {
        metrics.recordHoldDelay(delay);
    }

    @Override
    public Duration threadDelay() {
        return threadDelayEstimator.current();
    }

    @Override
    public Duration holdWait() {
        return holds.answerDelay();
    }

    @Override
    public boolean mayStart() {
        return active.get() && !isClosing() && inputAge.isRecent();
    }

    @Override
    public boolean callsRelayed() {
        return holds.relayed();
    }

    @Override
    public Semaphore firstContacts() {
        return holds.firstContacts();
    }

    private void measureThreadDelay() {
        while (active.get()) {
            long start = time.nanos();
            Threads.sleep(ThreadDelayEstimator.SAMPLE_INTERVAL);
            threadDelayEstimator.record(Duration.ofNanos(time.nanos() - start));
        }
    }

    @Override
    public void workerAnswered(TaskRecord.WorkerIncarnation incarnation, long extendedUntil) {
        leases.answered(incarnation, extendedUntil);
    }

    @Override
    public void workerReplaced(TaskRecord.WorkerIncarnation incarnation, long until) {
        leases.raise(incarnation, until);
    }

    @Override
    public void workerUnreachable(TaskRecord.WorkerIncarnation incarnation) {
        leases.unreachable(incarnation);
        wake();
    }

    /** Releases the runs on silent worker incarnations, once none of their leases can still be valid. */
    private void expireLeases() {
        if (!majorityAnswered && links.majority(WorkerLink::hasAnswered)) {
            majorityAnswered = true;
            leases.startCounting();
            Events.info("most-workers-held", "token", token);
        }
        List<TaskRecord.WorkerIncarnation> expired = leases.takeExpired();
        if (expired.isEmpty()) {
            return;
        }
        int unanswered = 0;
        for (TaskRecord.WorkerIncarnation incarnation : expired) {
            scheduler.expireLeases(incarnation);
            if (links.hasAnswered(incarnation)) {
                Events.warn("leases-expired", "worker", incarnation.worker(), "born", incarnation.incarnation());
            } else {
                unanswered++;
            }
        }
        if (unanswered > 0) {
            Events.info("earlier-leases-over", "token", token, "lives", unanswered);
        }
        links.closeUnlisted();
    }

    @Override
    public void fenced(String by) {
        if (active.get()) {
            Events.warn("ownership-lost", "token", token, "by", by);
        }
        end();
    }

    /** Returns what stores the progress of this term. */
    TermStorage storage() {
        return storage;
    }

    /**
     * Returns the ability for the lack of which the role is to be offered to other members; empty while it is offered.
     */
    Optional<OwnerAbilities.Lack> offerDue() {
        OwnerAbilities abilities =
                new OwnerAbilities(inputAge.current(), storage.writeAge(), storage.confirmationAge());
        Optional<OwnerAbilities.Lack> lack = handoverPolicy.decide(abilities, permissionTime.nanos());
        return storage.dueRecord().isPresent() ? Optional.empty() : lack;
    }

    /** Connects to the workers and starts to place tasks. */
    void start(ControlState control, Collection<WorkerRegistration> workers) {
        control.applyTo(scheduler);
        Estimates estimates = replica.estimates();
        scheduler.restore(estimates);
        if (!estimates.health().isEmpty()) {
            estimateSchedule.healthRestored();
        }
        // Workers are contacted only after all jobs are loaded, because runs that belong to no known job are stopped.
        scheduler.updateWorkers(workers);
        // Registered before the scan so that no job read in the meantime is missed; adding a job twice has no effect.
        replica.onChange(this::jobChanged);
        jobs.addAll();
        leases.start(replica.silences(), storage.inheritedLeases(), scheduler.unconfirmedIncarnations());
        updateWorkers(workers);
        startThread("plans", this::planLoop);
        startThread("ended-jobs", () -> endedJobCleaner.run(active::get));
        startThread("confirmation", this::keepConfirmed);
        startThread("sensitivities", () -> sensitivityWriter.run(active::get));
        StateAudit audit = new StateAudit(scheduler, replica, links::delivers, metrics, time);
        startThread("audit", () -> audit.run(active::get));
        startThread("lateness", this::measureThreadDelay);
    }

    private void jobChanged(JobId id) {
        if (active.get()) {
            jobs.add(id);
            wake();
        }
    }

    /** Applies new declarations. */
    void updateControl(ControlState control) {
        control.applyTo(scheduler);
        wake();
    }

    /** Returns what the tasks of each client account hold on all workers. */
    Map<String, Resources> accountUsage() {
        return active.get() ? scheduler.accountUsage() : Map.of();
    }

    /** Applies the current worker list; opens a new link for each worker that is new or has restarted. */
    void updateWorkers(Collection<WorkerRegistration> entries) {
        holds.setWorkerCount(entries.size());
        scheduler.expectReportsEvery(holds.answerDelay());
        links.update(entries);
        wake();
    }

    /** Applies a change of the relays. */
    void relaysChanged() {
        holds.adapt();
        scheduler.expectReportsEvery(holds.answerDelay());
    }

    private WorkerLink openLink(WorkerRegistration entry) {
        WorkerLink link = new WorkerLink(entry, port, scheduler, this, time, maxLease);
        startThread("hold", link::runHolds);
        startThread("orders", link::runFirstAttempts);
        startThread("repeats", link::runRetries);
        return link;
    }

    private void startThread(String name, Runnable task) {
        Thread thread = Thread.ofVirtual()
                .name(name)
                .unstarted(() -> Threads.runSupervised(name, task, active::get, metrics::threadFailed));
        synchronized (threads) {
            threads.removeIf(t -> !t.isAlive());
            thread.start();
            threads.add(thread);
        }
    }

    @Override
    public void wake() {
        if (planSignal.availablePermits() == 0) {
            planSignal.release();
        }
    }

    private void planLoop() {
        try {
            boolean last = false;
            while (active.get() && !last) {
                awaitPlan();
                last = isClosing();
                expireLeases();
                planExecutor.execute(plan(), dueOwnerRecord(), isClosing());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error e) {
            // The changes of the failed plan are lost, so a further plan would acknowledge ends that are not stored.
            Events.warn("plan-failed", "token", token, "cause", e);
            end();
        }
        planningEnded.countDown();
    }

    private void awaitPlan() throws InterruptedException {
        if (planSignal.tryAcquire(PLAN_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)) {
            Duration delay = planRateLimiter.delay(time.nanos());
            if (delay.isPositive()) {
                Thread.sleep(delay);
            }
            planSignal.drainPermits();
        }
        planRateLimiter.planStarted(time.nanos());
    }

    private Plan plan() {
        if (!inputAge.check() || isClosing()) {
            return scheduler.plan(0);
        }
        int waiting = links.waitingStarts();
        int maxStarts = startWindow.maxStarts(waiting);
        Plan plan = scheduler.plan(maxStarts);
        int starts = (int)
                plan.orders().stream().filter(Order.Start.class::isInstance).count();
        startWindow.planned(waiting + starts, starts == maxStarts);
        return plan;
    }

    private void keepConfirmed() {
        try {
            storage.keepConfirmed(active::get);
        } catch (StaleEpochException e) {
            fenced("store: " + e.getMessage());
        }
    }

    private Optional<OwnerRecord> dueOwnerRecord() {
        if (remainingLeases.isPresent()) {
            return storage.closingRecord(remainingLeases.get());
        }
        // An owner that still cannot read its inputs leaves the role to members that can.
        return inputAge.wasRecent() ? storage.dueRecord() : Optional.empty();
    }

    private boolean isClosing() {
        return remainingLeases.isPresent();
    }

    /**
     * Hands over to the next owner and ends this term: extends no more leases, starts no more tasks, and stores what is
     * pending and how long leases remain valid. Returns without that after {@code timeout}.
     */
    void close(Duration timeout) {
        remainingLeases = Optional.of(leases.close());
        wake();
        try {
            if (active.get() && !planningEnded.await(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
                Events.warn("handover-unstored", "token", token);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        end();
    }

    /** Ends this term and closes all links, so that no further orders are sent. */
    void end() {
        // A late answer must not remove the listener that a later term of this node has registered.
        if (!active.getAndSet(false)) {
            return;
        }
        replica.onChange(_ -> {});
        links.close();
        wake();
    }
}
