package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayList;
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
import org.chestnutbarrow.batch.WorkerEntry;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;

/**
 * One time of ownership: from the moment at which earlier owners can no longer store progress until a newer owner does.
 * Safe for use by several threads; the links are guarded by the monitor of their map.
 *
 * <p>Invariant: nothing is ordered or acknowledged before the progress that describes it is stored under this epoch.
 */
final class Reign implements Owner {
    /** Name of the owners as writers of progress; their epochs are their tokens. */
    private static final String WRITER = "owner";
    /** Longest time between two plans, so that waiting tasks are placed when a worker becomes usable again. */
    private static final Duration PLAN_INTERVAL = Duration.ofMillis(200);
    /** An owner that has not reached the store for this time stops extending leases; outages of 9 s are expected. */
    private static final Duration EXTEND_WITHOUT_STORE = Duration.ofSeconds(12);
    /**
     * Nothing new is started by what callers, operators and workers said longer ago than this. The bounds for draining
     * workers and evacuated zones begin at 2 s, and a copy that is read in time is up to 1.2 s old.
     */
    private static final Duration OLDEST_INPUTS = Duration.ofSeconds(2);
    /**
     * An owner without the store extends leases only while it hears more than half of the workers within this time. A
     * newer owner that holds more than half of them is therefore heard of by one of them at the latest.
     */
    private static final Duration HEARD = Duration.ofMillis(1500);
    /** Allows for an earlier owner that stood still for less than a lease and then extended once more. */
    private static final Duration STANDSTILL = Duration.ofMillis(1200);

    /** Time between two records of what was learned; a new owner needs some seconds to learn that much. */
    private static final Duration LEARNED_INTERVAL = Duration.ofSeconds(2);

    private final long token;
    private final WorkerPort port;
    private final JobReplica replica;
    private final TimeSource time;
    private final Duration longestLease;
    private final NodeMetrics metrics;
    private final Supplier<Duration> inputsAge;
    private final StoreContact contact;
    private final SilentLives silentLives;
    private final Lateness lateness = new Lateness();
    private final BatchScheduler cell;
    private final SequencedWriter writer;
    private final EndedJobs endedJobs;
    private final Map<WorkerId, WorkerLink> links = new HashMap<>();
    private final List<Thread> threads = new ArrayList<>();
    private final Semaphore signal = new Semaphore(0);
    /** Used by the thread of the plans only. */
    private final PlanGap gap = new PlanGap();

    private final AtomicBoolean active = new AtomicBoolean(true);
    /** When what was learned was stored last, ns; used by the thread of the plans only. */
    private long learnedAt;

    /** Whether more than half of the workers have answered under this token; used by the thread of the plans only. */
    private boolean mostHeld;
    /** Whether the last plan could start tasks; used by the thread of the plans only. */
    private boolean starting = true;

    /**
     * Prepares an ownership.
     *
     * @param inputsAge age of the oldest copy among those of jobs, workers and declarations
     */
    Reign(
            long token,
            StateStore store,
            WorkerPort port,
            JobReplica replica,
            TimeSource time,
            Duration longestLease,
            NodeMetrics metrics,
            Supplier<Duration> inputsAge) {
        this.token = token;
        this.contact = new StoreContact(store, new StateStore.Writer(WRITER, token, 0), time);
        this.inputsAge = inputsAge;
        this.port = port;
        this.replica = replica;
        this.time = time;
        this.longestLease = longestLease;
        this.metrics = metrics;
        this.cell = new BatchScheduler(time);
        Duration longest = HEARD.plus(STANDSTILL).plus(WorkerLink.longest(WorkerLink.lease(longestLease)));
        this.silentLives = new SilentLives(time, longest);
        this.writer = new SequencedWriter(store, StateStore.Topic.PROGRESS, WRITER, token);
        this.endedJobs = new EndedJobs(store, replica, time, token);
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
    public boolean extending(TaskRecord.WorkerIncarnation life) {
        Duration silence = contact.silence();
        return active.get()
                && silentLives.mayExtend(life)
                && silence.compareTo(EXTEND_WITHOUT_STORE) < 0
                && (silence.compareTo(HEARD) < 0 || mostWorkers(link -> link.heardWithin(HEARD)));
    }

    private boolean mostWorkers(Predicate<WorkerLink> which) {
        synchronized (links) {
            long count = links.values().stream().filter(which).count();
            return 2 * count > links.size();
        }
    }

    @Override
    public void ended(WorkerReport.EndKind how) {
        metrics.ended(how);
    }

    @Override
    public void orderWaited(Duration waited) {
        metrics.orderWaited(waited);
    }

    @Override
    public void holdLate(Duration late) {
        metrics.holdLate(late);
    }

    @Override
    public Duration lateness() {
        return lateness.now();
    }

    private void measureLateness() {
        while (active.get()) {
            long before = time.nanos();
            Pauses.sleep(Lateness.INTERVAL);
            lateness.paused(Duration.ofNanos(time.nanos() - before));
        }
    }

    @Override
    public void heard(TaskRecord.WorkerIncarnation life) {
        silentLives.heard(life);
    }

    /** Settles runs on lives that have not answered, once no lease of them can be left. */
    private void settleSilent() {
        if (!mostHeld && mostWorkers(WorkerLink::heard)) {
            mostHeld = true;
            silentLives.count();
            Events.info("most-workers-held", "token", token);
        }
        List<TaskRecord.WorkerIncarnation> ended = silentLives.takeEnded();
        if (!ended.isEmpty()) {
            ended.forEach(cell::expireLeases);
            Events.info("earlier-leases-over", "token", token, "lives", ended.size());
        }
    }

    @Override
    public void fenced(String by) {
        if (active.get()) {
            Events.warn("ownership-lost", "token", token, "by", by);
        }
        end();
    }

    /** The store has confirmed this ownership with a call sent at that time. */
    void confirmed(long sentAt) {
        contact.confirmed(sentAt);
    }

    /**
     * Names the owner in the store, keeps earlier owners from storing progress, and reads theirs.
     *
     * @throws StaleEpochException if the store names another owner
     */
    void fenceEarlier(String member, TopicFollower progress)
            throws NotRunException, OutcomeUnknownException, StaleEpochException {
        OwnerRecord self = new OwnerRecord(member, token);
        writer.append(List.of(JobReplica.ownerEntry(self)), () -> false);
        progress.catchUp();
        // The store takes the first append of another owner with this token for a repeat and answers it with success.
        Optional<OwnerRecord> owner = replica.owner();
        if (!owner.equals(Optional.of(self))) {
            throw new StaleEpochException(
                    "owner " + owner.map(OwnerRecord::member).orElse("unknown"),
                    owner.map(OwnerRecord::token).orElse(token));
        }
    }

    /** Starts to hold workers and to place tasks. */
    void begin(ControlState control, Collection<WorkerEntry> workers) {
        cell.configure(control.queues());
        cell.setEvacuatedZones(control.out());
        cell.restoreSensitivities(replica.learned());
        // Workers are asked only after all jobs are known: what a worker lists and no job explains is stopped.
        cell.updateWorkers(workers);
        // A job that is read meanwhile is taken by one of the two.
        replica.onChange(this::changed);
        for (JobReplica.Known known : replica.all(k -> true)) {
            add(known);
        }
        silentLives.begin(replica.silent(), cell.inheritedIncarnations());
        workers(workers);
        thread("plans", this::planLoop);
        thread("ended-jobs", () -> endedJobs.run(active::get));
        thread("confirmation", this::stayConfirmed);
        thread("lateness", this::measureLateness);
    }

    private void changed(JobId id) {
        if (active.get()) {
            replica.find(id).ifPresent(this::add);
            wake();
        }
    }

    private void add(JobReplica.Known known) {
        cell.addJob(known.spec(), known.progress());
        if (known.cancelled()) {
            cell.cancelJob(known.spec().id());
        }
    }

    /** Takes new declarations. */
    void control(ControlState control) {
        cell.configure(control.queues());
        cell.setEvacuatedZones(control.out());
        wake();
    }

    /** Takes the current list of workers. */
    void workers(Collection<WorkerEntry> entries) {
        cell.updateWorkers(entries);
        synchronized (links) {
            for (WorkerEntry entry : entries) {
                WorkerLink known = links.get(entry.id());
                if (known != null && known.worker().incarnation() == entry.incarnation()) {
                    continue;
                }
                if (known != null) {
                    known.close();
                }
                links.put(entry.id(), link(entry));
            }
        }
        wake();
    }

    private WorkerLink link(WorkerEntry entry) {
        WorkerLink link = new WorkerLink(entry, port, cell, this, time, longestLease);
        thread("hold", link::hold);
        thread("orders", link::sendOrders);
        thread("repeats", link::repeatOrders);
        return link;
    }

    private void thread(String name, Runnable body) {
        Thread thread = Thread.ofVirtual().name(name).unstarted(body);
        synchronized (threads) {
            threads.removeIf(t -> !t.isAlive());
            thread.start();
            threads.add(thread);
        }
    }

    @Override
    public void wake() {
        if (signal.availablePermits() == 0) {
            signal.release();
        }
    }

    private void planLoop() {
        while (active.get()) {
            try {
                if (signal.tryAcquire(PLAN_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)) {
                    Duration left = gap.left(time.nanos());
                    if (left.isPositive()) {
                        Thread.sleep(left);
                    }
                    signal.drainPermits();
                }
                gap.begin(time.nanos());
                settleSilent();
                carryOut(cell.plan(mayStart()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException e) {
                Events.warn("plan-failed", "token", token, "cause", e);
                end();
            }
        }
    }

    private boolean mayStart() {
        Duration age = inputsAge.get();
        boolean recent = age.compareTo(OLDEST_INPUTS) < 0;
        if (recent && !starting) {
            Events.info("starts-resumed", "token", token, "inputsAgeMs", age.toMillis());
        } else if (!recent && starting) {
            Events.warn("starts-suspended", "token", token, "inputsAgeMs", age.toMillis());
        }
        starting = recent;
        return recent;
    }

    private void stayConfirmed() {
        try {
            contact.run(active::get);
        } catch (StaleEpochException e) {
            fenced("store: " + e.getMessage());
        }
    }

    private void carryOut(Plan plan) {
        List<StateStore.Entry> entries = new ArrayList<>();
        plan.changes().forEach(change -> entries.add(JobReplica.progressEntry(change)));
        long now = time.nanos();
        if (!entries.isEmpty() && now - learnedAt > LEARNED_INTERVAL.toNanos()) {
            learnedAt = now;
            entries.add(JobReplica.learnedEntry(cell.sensitivities()));
        }
        Optional<Map<TaskRecord.WorkerIncarnation, Duration>> silent = silentLives.due();
        silent.ifPresent(record -> entries.add(JobReplica.silentEntry(record)));
        entries.addAll(endedJobs.takeDue());
        if (!entries.isEmpty() && !persist(entries, plan.changes())) {
            return;
        }
        silent.ifPresent(silentLives::stored);
        synchronized (links) {
            plan.acknowledgements().forEach((worker, number) -> {
                WorkerLink link = links.get(worker);
                if (link != null) {
                    link.acknowledge(number);
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
            metrics.started();
        }
        link.send(order);
    }

    /** Stores entries, the changes among them; returns false if a newer owner exists. */
    private boolean persist(List<StateStore.Entry> entries, List<JobProgress> changes) {
        for (List<StateStore.Entry> part : SequencedWriter.parts(entries)) {
            if (!persist(part)) {
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

    /** Repeats an append until the store has answered or a newer owner exists. */
    private boolean persist(List<StateStore.Entry> entries) {
        while (active.get()) {
            try {
                long sent = time.nanos();
                long offset = writer.append(entries, active::get);
                confirmed(sent);
                replica.stored(entries, offset);
                return true;
            } catch (NotRunException e) {
                Events.warn("progress-delayed", "entries", entries.size(), "cause", e.getMessage());
                Pauses.sleep(Duration.ofMillis(100));
            } catch (OutcomeUnknownException e) {
                Events.warn("progress-unknown", "entries", entries.size(), "cause", e.getMessage());
            } catch (StaleEpochException e) {
                fenced("store: " + e.getMessage());
            }
        }
        return false;
    }

    /** Ends this ownership; nothing is ordered any more. */
    void end() {
        // A late answer must not take the listener away from a later ownership of this node.
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
