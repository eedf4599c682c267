package org.chestnutbarrow.node;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.Plan;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;

/**
 * One term of ownership of the workers. A term begins when earlier owners can no longer store progress and ends when a
 * newer owner stores some. Safe for use by several threads; the links are guarded by the monitor of their map.
 *
 * <p>Invariant: no order is sent and no end of a run is acknowledged before the progress that describes it is stored
 * under the epoch of this term.
 */
final class OwnershipTerm implements Owner {
    /** Writer name under which all owners append progress; the epoch of the writer is the fencing token. */
    private static final String WRITER = "owner";
    /** Maximum time between two plans, so that waiting tasks are placed once a worker becomes usable again. */
    private static final Duration PLAN_INTERVAL = Duration.ofMillis(200);
    /** Maximum time without the store during which leases are still extended. Covers expected outages of 9 s. */
    private static final Duration MAX_EXTENSION_WITHOUT_STORE = Duration.ofSeconds(12);
    /**
     * Maximum age of the copies of jobs, declarations and the worker list from which tasks are started. The bounds for
     * draining workers and evacuating availability zones begin at 2 s; a copy that is read on time is up to 1.2 s old.
     */
    private static final Duration MAX_INPUT_AGE = Duration.ofSeconds(2);
    /**
     * Without the store, leases are extended only while a majority of the workers has answered within this time. A
     * newer owner also needs answers from a majority, so the two majorities share a worker that reports the newer
     * token.
     */
    private static final Duration ANSWER_WINDOW = Duration.ofMillis(1500);
    /** Covers an earlier owner that paused for less than a lease and then extended leases once more. */
    private static final Duration MAX_OWNER_PAUSE = Duration.ofMillis(1200);

    /** Time between two writes of the measured sensitivities, which a new owner can measure again in a few seconds. */
    private static final Duration SENSITIVITIES_INTERVAL = Duration.ofSeconds(2);

    private static final int RELAY_KEY_BYTES = 32;

    private final long token;
    private final WorkerPort port;
    private final JobReplica replica;
    private final TimeSource time;
    private final PermissionTime permissionTime;
    private final Duration maxLease;
    private final NodeCapacity capacity;
    private final RelayNetwork relays;
    private final Semaphore firstContacts;
    private final NodeMetrics metrics;
    private final Supplier<Duration> inputsAge;
    private final OwnershipConfirmation confirmation;
    private final UnresponsiveWorkers unresponsive;
    private final ThreadDelayEstimator threadDelayEstimator = new ThreadDelayEstimator();
    private final BatchScheduler scheduler;
    private final SequencedWriter writer;
    private final EndedJobCleaner endedJobCleaner;
    private final Map<WorkerId, WorkerLink> links = new HashMap<>();
    private final List<Thread> threads = new ArrayList<>();
    private final Semaphore planSignal = new Semaphore(0);
    /** Accessed only by the planning thread. */
    private final PlanRateLimiter planRateLimiter = new PlanRateLimiter();

    private final AtomicBoolean active = new AtomicBoolean(true);
    private volatile Duration holdWait = NodeCapacity.MIN_HOLD_WAIT;
    private volatile int workerCount;
    private volatile boolean callsRelayed;
    /** Time of the last write of the measured sensitivities, ns; accessed only by the planning thread. */
    private long sensitivitiesStoredAt;

    /** Whether a majority of the workers has answered under this token; accessed only by the planning thread. */
    private boolean majorityAnswered;
    /** Whether the last plan was allowed to start tasks; accessed only by the planning thread. */
    private boolean startsAllowed = true;

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
        this.confirmation = new OwnershipConfirmation(store, new StateStore.Writer(WRITER, token, 0), permissionTime);
        this.permissionTime = permissionTime;
        this.inputsAge = inputsAge;
        this.port = port;
        this.replica = replica;
        this.time = permissionTime.source();
        this.maxLease = settings.maxLease();
        this.capacity = settings.capacity();
        this.relays = relays;
        this.firstContacts = new Semaphore(capacity.concurrentFirstContacts(), true);
        this.metrics = metrics;
        this.scheduler = new BatchScheduler(time);
        Duration maxSilence = ANSWER_WINDOW
                .plus(MAX_OWNER_PAUSE)
                .plus(WorkerLink.maxLeaseDuration(WorkerLink.leaseDuration(maxLease)));
        this.unresponsive = new UnresponsiveWorkers(time, maxSilence);
        this.writer = new SequencedWriter(store, StateStore.Topic.PROGRESS, WRITER, token);
        this.endedJobCleaner = new EndedJobCleaner(store, replica, time, token);
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
    public boolean mayExtendLeases(TaskRecord.WorkerIncarnation incarnation) {
        Duration unconfirmed = confirmation.age();
        return active.get()
                && unresponsive.mayExtendLeases(incarnation)
                && unconfirmed.compareTo(MAX_EXTENSION_WITHOUT_STORE) < 0
                && (unconfirmed.compareTo(ANSWER_WINDOW) < 0
                        || majorityOfWorkers(link -> link.hasAnsweredWithin(ANSWER_WINDOW)));
    }

    private boolean majorityOfWorkers(Predicate<WorkerLink> condition) {
        synchronized (links) {
            long count = links.values().stream().filter(condition).count();
            return 2 * count > links.size();
        }
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
    public void recordHoldDelay(Duration delay) {
        metrics.recordHoldDelay(delay);
    }

    @Override
    public Duration threadDelay() {
        return threadDelayEstimator.current();
    }

    @Override
    public Duration holdWait() {
        return holdWait;
    }

    @Override
    public boolean mayStart() {
        return active.get() && inputsAge.get().compareTo(MAX_INPUT_AGE) < 0;
    }

    @Override
    public boolean callsRelayed() {
        return callsRelayed;
    }

    @Override
    public Semaphore firstContacts() {
        return firstContacts;
    }

    private void measureThreadDelay() {
        while (active.get()) {
            long start = time.nanos();
            Threads.sleep(ThreadDelayEstimator.SAMPLE_INTERVAL);
            threadDelayEstimator.record(Duration.ofNanos(time.nanos() - start));
        }
    }

    @Override
    public void workerAnswered(TaskRecord.WorkerIncarnation incarnation) {
        unresponsive.answered(incarnation);
    }

    /** Expires runs on worker incarnations that have not answered, once none of their leases can still be valid. */
    private void expireUnresponsive() {
        if (!majorityAnswered && majorityOfWorkers(WorkerLink::hasAnswered)) {
            majorityAnswered = true;
            unresponsive.startCounting();
            Events.info("most-workers-held", "token", token);
        }
        List<TaskRecord.WorkerIncarnation> expired = unresponsive.takeExpired();
        if (!expired.isEmpty()) {
            expired.forEach(scheduler::expireLeases);
            Events.info("earlier-leases-over", "token", token, "lives", expired.size());
        }
    }

    @Override
    public void fenced(String by) {
        if (active.get()) {
            Events.warn("ownership-lost", "token", token, "by", by);
        }
        end();
    }

    /** Records that the store confirmed this term in a call sent at {@code sentAt}, ns of the permission time. */
    void confirmed(long sentAt) {
        confirmation.confirmed(sentAt);
    }

    /**
     * Records this owner in the store, which fences earlier owners, and then reads the progress that they stored.
     *
     * @throws StaleEpochException if another owner is recorded in the store
     */
    void fenceEarlierOwners(String member, TopicFollower progress)
            throws NotRunException, OutcomeUnknownException, StaleEpochException {
        OwnerRecord self = new OwnerRecord(member, token, newRelayKey());
        writer.append(List.of(JobReplica.ownerEntry(self)), () -> false);
        progress.catchUp();
        // If two owners share a token, the store takes the first append of the second for a retry and reports success.
        Optional<OwnerRecord> owner = replica.owner();
        if (!owner.equals(Optional.of(self))) {
            throw new StaleEpochException(
                    "owner " + owner.map(OwnerRecord::member).orElse("unknown"),
                    owner.map(OwnerRecord::token).orElse(token));
        }
    }

    private static String newRelayKey() {
        byte[] key = new byte[RELAY_KEY_BYTES];
        new SecureRandom().nextBytes(key);
        return Base64.getEncoder().encodeToString(key);
    }

    /** Connects to the workers and starts to place tasks. */
    void start(ControlState control, Collection<WorkerRegistration> workers) {
        scheduler.configure(control.queues());
        scheduler.setEvacuatedZones(control.evacuatedZones());
        scheduler.restoreSensitivities(replica.sensitivities());
        // Workers are contacted only after all jobs are loaded, because runs that belong to no known job are stopped.
        scheduler.updateWorkers(workers);
        // Registered before the scan so that no job read in the meantime is missed; adding a job twice has no effect.
        replica.onChange(this::jobChanged);
        for (JobReplica.JobView known : replica.findAll(k -> true)) {
            addJob(known);
        }
        unresponsive.start(replica.silences(), scheduler.inheritedIncarnations());
        updateWorkers(workers);
        startThread("plans", this::planLoop);
        startThread("ended-jobs", () -> endedJobCleaner.run(active::get));
        startThread("confirmation", this::keepConfirmed);
        startThread("lateness", this::measureThreadDelay);
    }

    private void jobChanged(JobId id) {
        if (active.get()) {
            replica.find(id).ifPresent(this::addJob);
            wake();
        }
    }

    private void addJob(JobReplica.JobView known) {
        scheduler.addJob(known.spec(), known.progress());
        if (known.cancelled()) {
            scheduler.cancelJob(known.spec().id());
        }
    }

    /** Applies new declarations. */
    void updateControl(ControlState control) {
        scheduler.configure(control.queues());
        scheduler.setEvacuatedZones(control.evacuatedZones());
        wake();
    }

    /** Applies the current worker list; opens a new link for each worker that is new or has restarted. */
    void updateWorkers(Collection<WorkerRegistration> entries) {
        workerCount = entries.size();
        adaptHolds();
        scheduler.updateWorkers(entries);
        synchronized (links) {
            for (WorkerRegistration entry : entries) {
                WorkerLink existing = links.get(entry.id());
                if (existing != null && existing.worker().incarnation() == entry.incarnation()) {
                    continue;
                }
                if (existing != null) {
                    existing.close();
                }
                links.put(entry.id(), createLink(entry));
            }
        }
        wake();
    }

    /** Decides by the number of workers how they are held; called after a change of the workers or the relays. */
    synchronized void adaptHolds() {
        callsRelayed = relays.use(!capacity.bearsDirectHolds(workerCount));
        holdWait = callsRelayed ? capacity.relayedHoldWait(workerCount) : capacity.holdWait(workerCount);
        scheduler.expectReportsEvery(holdWait);
    }

    private WorkerLink createLink(WorkerRegistration entry) {
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
        while (active.get()) {
            try {
                if (planSignal.tryAcquire(PLAN_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)) {
                    Duration delay = planRateLimiter.delay(time.nanos());
                    if (delay.isPositive()) {
                        Thread.sleep(delay);
                    }
                    planSignal.drainPermits();
                }
                planRateLimiter.planStarted(time.nanos());
                expireUnresponsive();
                execute(scheduler.plan(checkInputAge()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException e) {
                Events.warn("plan-failed", "token", token, "cause", e);
                end();
            }
        }
    }

    /** Returns whether the inputs are recent enough to start tasks; logs each change. */
    private boolean checkInputAge() {
        Duration age = inputsAge.get();
        boolean recent = age.compareTo(MAX_INPUT_AGE) < 0;
        if (recent && !startsAllowed) {
            Events.info("starts-resumed", "token", token, "inputsAgeMs", age.toMillis());
        } else if (!recent && startsAllowed) {
            Events.warn("starts-suspended", "token", token, "inputsAgeMs", age.toMillis());
        }
        startsAllowed = recent;
        return recent;
    }

    private void keepConfirmed() {
        try {
            confirmation.run(active::get);
        } catch (StaleEpochException e) {
            fenced("store: " + e.getMessage());
        }
    }

    private void execute(Plan plan) {
        List<StateStore.Entry> entries = new ArrayList<>();
        plan.changes().forEach(change -> entries.add(JobReplica.progressEntry(change)));
        long now = time.nanos();
        if (!entries.isEmpty() && now - sensitivitiesStoredAt > SENSITIVITIES_INTERVAL.toNanos()) {
            sensitivitiesStoredAt = now;
            entries.add(JobReplica.sensitivitiesEntry(scheduler.sensitivities()));
        }
        Optional<Map<TaskRecord.WorkerIncarnation, Duration>> silenceRecord = unresponsive.dueRecord();
        silenceRecord.ifPresent(record -> entries.add(JobReplica.silencesEntry(record)));
        entries.addAll(endedJobCleaner.takeProgressRemovals());
        if (!entries.isEmpty() && !persist(entries, plan.changes())) {
            return;
        }
        silenceRecord.ifPresent(unresponsive::recordStored);
        synchronized (links) {
            plan.acknowledgements().forEach((worker, sequence) -> {
                WorkerLink link = links.get(worker);
                if (link != null) {
                    link.acknowledge(sequence);
                }
            });
            for (Order order : plan.orders()) {
                dispatch(order);
            }
        }
    }

    private void dispatch(Order order) {
        WorkerLink link = links.get(order.worker());
        if (link == null || link.worker().incarnation() != order.incarnation()) {
            return;
        }
        OrderEvents.log(order);
        if (order instanceof Order.Start) {
            metrics.runStarted();
        }
        link.enqueue(order);
    }

    /** Stores the entries, which include the changes; returns false if this term has ended. */
    private boolean persist(List<StateStore.Entry> entries, List<JobProgress> changes) {
        for (List<StateStore.Entry> batch : SequencedWriter.chunks(entries)) {
            if (!persist(batch)) {
                return false;
            }
        }
        for (JobProgress change : changes) {
            if (change.state().isFinal() && change.steps().isEmpty()) {
                metrics.jobEnded(change.state());
                Events.info("job-ended", "job", change.id(), "state", change.state(), "token", token);
            }
        }
        return true;
    }

    /** Retries an append until the store has confirmed it; returns false if this term ends first. */
    private boolean persist(List<StateStore.Entry> entries) {
        while (active.get()) {
            try {
                long sentAt = permissionTime.nanos();
                long offset = writer.append(entries, active::get);
                confirmed(sentAt);
                replica.applyStored(entries, offset);
                return true;
            } catch (NotRunException e) {
                Events.warn("progress-delayed", "entries", entries.size(), "cause", e.getMessage());
                Threads.sleep(Duration.ofMillis(100));
            } catch (OutcomeUnknownException e) {
                Events.warn("progress-unknown", "entries", entries.size(), "cause", e.getMessage());
            } catch (StaleEpochException e) {
                fenced("store: " + e.getMessage());
            }
        }
        return false;
    }

    /** Ends this term and closes all links, so that no further orders are sent. */
    void end() {
        // A late answer must not remove the listener that a later term of this node has registered.
        if (!active.getAndSet(false)) {
            return;
        }
        replica.onChange(_ -> {});
        synchronized (links) {
            links.values().forEach(WorkerLink::close);
        }
        wake();
    }
}
