package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TimeSource;

/**
 * One node. Every node accepts jobs and answers for them; the one that the store makes the owner also places tasks. Safe
 * for use by several threads.
 *
 * <pre>{@code
 * Node node = Node.start(settings, store, workers, codec, TimeSource.SYSTEM);
 * node.submit(job, Duration.ofSeconds(2));
 * }</pre>
 */
public final class Node implements JobService, AutoCloseable {
    /** Membership lasts this much longer than the shortest that the store allows, so that one lost call is borne. */
    private static final double MEMBERSHIP_FACTOR = 1.5;
    /** Calls to join within the time of a membership. */
    private static final int JOINS = 6;
    /** A node that has not read the store for this time is not the right one for callers. */
    private static final Duration STALE = Duration.ofMillis(2500);
    /** Oldest copy that answers are made from. Callers are promised 2 s, of which the answer's way needs a part. */
    private static final Duration OLDEST_COPY = Duration.ofMillis(1500);

    /** Longest pause of the owner, whose plans wait for the store, and of the few records of the configuration. */
    private static final Duration OWNER_RETRY = Duration.ofMillis(300);
    /** Longest pause of the many other nodes, which share the store's rate of reads with the owner. */
    private static final Duration STANDBY_RETRY = Duration.ofSeconds(2);

    private static final TopicFollower.PollPolicy LIVE =
            new TopicFollower.PollPolicy(Duration.ofSeconds(1), Duration.ZERO, OWNER_RETRY);
    private static final TopicFollower.PollPolicy STANDBY =
            new TopicFollower.PollPolicy(Duration.ZERO, Duration.ofMillis(500), STANDBY_RETRY);
    private static final TopicFollower.PollPolicy OWN_WRITES =
            new TopicFollower.PollPolicy(Duration.ZERO, Duration.ofSeconds(1), OWNER_RETRY);
    private static final TopicFollower.PollPolicy IDLE =
            new TopicFollower.PollPolicy(Duration.ZERO, Duration.ofMillis(600), OWNER_RETRY);

    private final NodeSettings settings;
    private final StateStore store;
    private final WorkerPort port;
    private final TimeSource time;
    private final JobReplica replica = new JobReplica();
    private final ControlTable control;
    private final WorkerTable workers;
    private final JobWriter writer;
    private final NodeMetrics metrics;
    private final TopicFollower controlFeed;
    private final TopicFollower jobFeed;
    private final TopicFollower progressFeed;
    private volatile String member;
    private volatile Reign reign;
    private volatile boolean leaving;
    /** Used by the thread of the membership only. */
    private Succession succession;

    private final SuccessionEvents successionEvents = new SuccessionEvents();

    private Node(NodeSettings settings, StateStore store, WorkerPort port, RecordCodec codec, TimeSource time) {
        this.settings = settings;
        this.store = store;
        this.port = port;
        this.time = time;
        Member self = newMember();
        this.member = self.id();
        this.succession = new Succession(self, time.nanos());
        this.control = new ControlTable(codec);
        this.workers = new WorkerTable(codec);
        this.writer = new JobWriter(store, member);
        this.controlFeed = new TopicFollower(store, StateStore.Topic.CONTROL, control, () -> LIVE, time);
        this.jobFeed = new TopicFollower(
                store, StateStore.Topic.JOBS, replica.jobsListener(), () -> owning() ? LIVE : STANDBY, time);
        this.metrics = new NodeMetrics(this::owning, jobFeed::age);
        this.progressFeed = new TopicFollower(
                store,
                StateStore.Topic.PROGRESS,
                replica.progressListener(),
                () -> owning() ? OWN_WRITES : STANDBY,
                time);
        replica.onStored((entries, offset) -> progressFeed.skip(offset, entries.size()));
    }

    /** Starts a node. */
    public static Node start(
            NodeSettings settings, StateStore store, WorkerPort port, RecordCodec codec, TimeSource time) {
        Node node = new Node(settings, store, port, codec, time);
        node.begin();
        return node;
    }

    private void begin() {
        control.onChange(state -> {
            Reign current = reign;
            if (current != null) {
                current.control(state);
            }
        });
        thread("control", controlFeed::run);
        thread("jobs", jobFeed::run);
        thread("progress", progressFeed::run);
        thread("writer", writer::run);
        thread("membership", this::membership);
    }

    private static void thread(String name, Runnable body) {
        Thread.ofVirtual().name(name).start(body);
    }

    private boolean owning() {
        Reign current = reign;
        return current != null && current.active();
    }

    private void membership() {
        Duration ttl = Duration.ofMillis((long) (settings.membership().toMillis() * MEMBERSHIP_FACTOR));
        Duration pause = ttl.dividedBy(JOINS);
        long generation = 0;
        boolean lost = false;
        while (!leaving) {
            if (!controlFeed.loaded() || !jobFeed.loaded() || !progressFeed.loaded()) {
                Pauses.sleep(Duration.ofMillis(50));
                continue;
            }
            try {
                renewMember();
                long sent = time.nanos();
                StateStore.Membership now = store.join(member, ttl, generation);
                generation = now.generation();
                lost = false;
                if (leaving) {
                    break;
                }
                judge(now, sent);
            } catch (NotRunException e) {
                if (!lost) {
                    lost = true;
                    Events.warn("membership-unconfirmed", "generation", generation, "cause", e.getMessage());
                }
            }
            Pauses.sleep(pause);
        }
        // A call to join that was under way while the node left has made it a member again.
        leave();
    }

    private void leave() {
        try {
            store.leave(member);
        } catch (NotRunException e) {
            Events.warn("leave-failed", "cause", e.getMessage());
        }
    }

    /** After an ownership this node goes on as another member, so that the ended one is not taken for alive. */
    private void renewMember() throws NotRunException {
        Reign ended = reign;
        if (ended == null || ended.active()) {
            return;
        }
        store.leave(member);
        Member self = newMember();
        member = self.id();
        succession = new Succession(self, time.nanos());
        reign = null;
    }

    private Member newMember() {
        return new Member(settings.name(), settings.milliCores(), time.now());
    }

    /** Takes over if this member is the one to do so; the owner goes on whatever the group deals out. */
    private void judge(StateStore.Membership now, long sent) throws NotRunException {
        Reign current = reign;
        if (current != null) {
            supervise(current);
            return;
        }
        Succession.Choice choice = succession.choose(now, replica.owner(), time.nanos());
        if (choice instanceof Succession.Look) {
            choice = look(now);
        }
        if (choice instanceof Succession.TakeOver) {
            // What led to the choice may be old, so it is made again by the newest owner and members.
            progressFeed.catchUp();
            choice = look(now);
        }
        switch (choice) {
            case Succession.Look _ -> {}
            case Succession.Rest rest -> successionEvents.declined(rest.grounds(), now.generation(), replica.owner());
            case Succession.TakeOver next -> {
                SuccessionEvents.taken(next.grounds(), now.generation(), replica.owner());
                takeOver(next.token(), sent);
            }
        }
    }

    private Succession.Choice look(StateStore.Membership now) throws NotRunException {
        succession.seen(now.generation(), store.members());
        return succession.choose(now, replica.owner(), time.nanos());
    }

    private void supervise(Reign current) {
        current.confirmed(progressFeed.freshAsOf());
        Optional<OwnerRecord> owner = replica.owner();
        if (owner.isPresent() && owner.get().token() > current.token()) {
            current.fenced("member " + owner.get().member());
        }
    }

    private void takeOver(long token, long sent) {
        TopicFollower workerFeed = new TopicFollower(store, StateStore.Topic.WORKERS, workers, () -> IDLE, time);
        Reign next = new Reign(
                token,
                store,
                port,
                replica,
                time,
                settings.longestLease(),
                metrics,
                () -> Collections.max(List.of(controlFeed.age(), jobFeed.age(), workerFeed.age())));
        workers.onChange(_ -> {});
        // Calls to a slow store take 0.3 s and more, so those that need not follow the fence are made beside it.
        try (ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<?> jobsRead = calls.submit(() -> caughtUp(jobFeed));
            Future<?> workersRead = calls.submit(() -> caughtUp(workerFeed));
            next.fenceEarlier(member, progressFeed);
            jobsRead.get();
            workersRead.get();
            reign = next;
            if (leaving) {
                next.end();
                return;
            }
            next.begin(control.state(), workers.all());
            workers.onChange(next::workers);
            thread("workers", () -> follow(workerFeed, next));
            Events.info(
                    "ownership-taken",
                    "token",
                    token,
                    "tookMs",
                    Duration.ofNanos(time.nanos() - sent).toMillis(),
                    "workers",
                    workers.all().size());
        } catch (NotRunException | OutcomeUnknownException | StaleEpochException | ExecutionException e) {
            next.end();
            // The store may name this member as the owner, so it goes on under another name.
            reign = next;
            Events.warn("takeover-failed", "token", token, "cause", e.getMessage());
        } catch (InterruptedException e) {
            next.end();
            Thread.currentThread().interrupt();
        }
    }

    private static boolean caughtUp(TopicFollower feed) throws NotRunException {
        feed.catchUp();
        return true;
    }

    private static void follow(TopicFollower feed, Reign reign) {
        feed.run(reign::active);
    }

    @Override
    public ControlState control() {
        return control.state();
    }

    @Override
    public Receipt submit(JobSpec job, Duration within) {
        if (replica.find(job.id()).isPresent()) {
            Events.info("job-known", "job", job.id());
            return Receipt.STORED;
        }
        long begin = time.nanos();
        Receipt receipt = writer.append(JobReplica.jobEntry(job), within);
        if (receipt == Receipt.STORED) {
            replica.applyJob(job);
        }
        metrics.submitted(receipt, Duration.ofNanos(time.nanos() - begin));
        Events.info("job-submitted", "job", job.id(), "queue", job.queue().key(), "receipt", receipt);
        return receipt;
    }

    @Override
    public Receipt cancel(JobId id, Duration within) {
        long begin = time.nanos();
        try {
            Optional<JobReplica.JobView> known = known(id, within);
            if (known.isEmpty()) {
                return Receipt.NO_JOB;
            }
            if (known.get().state().isFinal()) {
                return Receipt.STORED;
            }
        } catch (NotRunException e) {
            Events.warn("cancel-refused", "job", id, "cause", e.getMessage());
            return Receipt.NOT_STORED;
        }
        Receipt receipt = writer.append(JobReplica.cancelEntry(id), left(begin, within));
        if (receipt == Receipt.STORED) {
            replica.applyCancellation(id);
        }
        Events.info("job-cancelled", "job", id, "receipt", receipt);
        return receipt;
    }

    @Override
    public Optional<JobState> state(JobId id, Duration within) throws NotRunException {
        long begin = time.nanos();
        Optional<JobReplica.JobView> known = known(id, within);
        if (known.isEmpty() || known.get().hasStoredFinalState()) {
            return known.map(JobReplica.JobView::state);
        }
        try {
            refresh(left(begin, within));
        } catch (NotRunException e) {
            // Without a cancellation the state that was read last is one that the job did have.
            if (!progressFeed.loaded() || known.get().cancelled()) {
                throw e;
            }
        }
        return replica.find(id).map(JobReplica.JobView::state);
    }

    /** A job that is not known here may have been accepted elsewhere a moment ago, so the store is asked. */
    private Optional<JobReplica.JobView> known(JobId id, Duration within) throws NotRunException {
        Optional<JobReplica.JobView> known = replica.find(id);
        if (known.isPresent()) {
            return known;
        }
        jobFeed.refresh(Duration.ZERO, within);
        return replica.find(id);
    }

    private void refresh(Duration within) throws NotRunException {
        long begin = time.nanos();
        jobFeed.refresh(OLDEST_COPY, within);
        progressFeed.refresh(OLDEST_COPY, left(begin, within));
    }

    private Duration left(long begin, Duration within) {
        return within.minusNanos(time.nanos() - begin);
    }

    @Override
    public int pendingJobs(String queueKey, Duration within) throws NotRunException {
        refresh(within);
        return replica.pendingJobs(queueKey);
    }

    @Override
    public String metrics() {
        return metrics.page();
    }

    @Override
    public boolean ready() {
        return !leaving
                && control.state().version() >= 0
                && jobFeed.loaded()
                && progressFeed.loaded()
                && jobFeed.age().compareTo(STALE) < 0;
    }

    /** Gives up ownership and membership, so that another node takes over at once. */
    @Override
    public void close() {
        leaving = true;
        Reign current = reign;
        if (current != null) {
            current.end();
        }
        leave();
        Events.info("node-left", "member", member);
    }
}
