package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
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
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.UnstorableException;

/**
 * A scheduler node. Every node accepts jobs and reports their state; the owner, of which there is one at a time, also
 * places tasks on the workers. Safe for use by several threads.
 *
 * <pre>{@code
 * Node node = Node.start(settings, store, workers, codec, TimeSource.SYSTEM);
 * node.submit(job, Duration.ofSeconds(2));
 * }</pre>
 */
public final class Node implements JobService, AutoCloseable {
    /** Maximum age of the copy of the jobs at which the node still reports that it is ready. */
    private static final Duration MAX_READY_AGE = Duration.ofMillis(2500);
    /** Maximum retry pause of the owner, whose plans wait for the store, and of the small control topic. */
    private static final Duration MAX_OWNER_RETRY_PAUSE = Duration.ofMillis(300);
    /** Maximum retry pause of the other nodes, which share the read capacity of the store with the owner. */
    private static final Duration MAX_STANDBY_RETRY_PAUSE = Duration.ofSeconds(2);
    /** Time after a change of the group in which members join twice and so hand over the partitions that they lost. */
    private static final Duration HANDOVER_TIME = Duration.ofSeconds(2);

    /** Maximum time for the last write of an owner that leaves. */
    private static final Duration MAX_HANDOVER_WAIT = Duration.ofMillis(500);

    /** Long polling of the control topic and, on the owner, of the jobs. */
    private static final TopicFollower.PollPolicy LONG_POLL =
            new TopicFollower.PollPolicy(Duration.ofSeconds(1), Duration.ZERO, MAX_OWNER_RETRY_PAUSE);
    /** Polling of jobs and progress on nodes that are not the owner. */
    private static final TopicFollower.PollPolicy STANDBY_POLL =
            new TopicFollower.PollPolicy(Duration.ZERO, Duration.ofMillis(500), MAX_STANDBY_RETRY_PAUSE);
    /** Polling of the progress on the owner, which takes its own writes without reading them back. */
    private static final TopicFollower.PollPolicy OWNER_PROGRESS_POLL =
            new TopicFollower.PollPolicy(Duration.ZERO, Duration.ofSeconds(1), MAX_OWNER_RETRY_PAUSE);
    /** Polling of the worker list on the owner. */
    private static final TopicFollower.PollPolicy WORKERS_POLL =
            new TopicFollower.PollPolicy(Duration.ZERO, Duration.ofMillis(600), MAX_OWNER_RETRY_PAUSE);

    private final NodeSettings settings;
    private final StateStore store;
    private final WorkerPort port;
    private final RelayNetwork relays;
    private final TimeSource time;
    private final PermissionTime permissionTime;
    private final JobReplica replica;
    private final ControlTable control;
    private final WorkerTable workers;
    private final JobWriter writer;
    private final NodeMetrics metrics;
    private final CallerAccounts accounts;
    private final TopicFollower controlFollower;
    private final TopicFollower jobFollower;
    private final TopicFollower progressFollower;
    private final JobAnswers answers;
    private final GroupMembership membership;
    private final TakeoverEvents takeoverEvents = new TakeoverEvents();
    private volatile OwnershipTerm term;
    private volatile boolean leaving;
    /** Accessed only by the methods of {@link GroupMembership.Ownership}, of which one runs at a time. */
    private volatile TakeoverPolicy takeoverPolicy;

    private Node(
            NodeSettings settings,
            StateStore store,
            WorkerPort port,
            RelayNetwork relays,
            RecordCodec codec,
            TimeSource time) {
        this.settings = settings;
        this.relays = relays;
        this.store = store;
        this.port = port;
        this.time = time;
        this.permissionTime = new PermissionTime(time);
        this.replica = new JobReplica(time);
        this.membership = new GroupMembership(settings, store, time, new MembershipOwnership());
        this.control = new ControlTable(codec);
        this.workers = new WorkerTable(codec);
        // A clock that has stepped back may give this process the member id of an earlier one, and the store would take
        // appends under its name for repeated ones.
        this.writer = new JobWriter(store, membership.memberId() + "/" + UUID.randomUUID(), time);
        this.controlFollower =
                new TopicFollower(store, StateStore.Topic.CONTROL, control, () -> LONG_POLL, permissionTime);
        this.jobFollower = new TopicFollower(
                store,
                StateStore.Topic.JOBS,
                replica.jobsListener(),
                () -> isOwner() ? LONG_POLL : STANDBY_POLL,
                permissionTime);
        this.metrics = new NodeMetrics(this::isOwner, jobFollower::age, this::accountUsage);
        this.accounts = new CallerAccounts(control, controlFollower::age, settings.maxKeyAge(), replica, metrics);
        this.progressFollower = new TopicFollower(
                store,
                StateStore.Topic.PROGRESS,
                replica.progressListener(),
                () -> isOwner() ? OWNER_PROGRESS_POLL : STANDBY_POLL,
                permissionTime);
        this.answers = new JobAnswers(replica, jobFollower, progressFollower, time);
        replica.onStored((entries, offset) -> progressFollower.skip(offset, entries.size()));
    }

    /** Starts a node that calls all workers itself if it owns them. */
    public static Node start(
            NodeSettings settings, StateStore store, WorkerPort port, RecordCodec codec, TimeSource time) {
        return start(settings, store, port, RelayNetwork.NONE, codec, time);
    }

    /** Starts a node; {@code port} sends calls through the relays while they are used. */
    public static Node start(
            NodeSettings settings,
            StateStore store,
            WorkerPort port,
            RelayNetwork relays,
            RecordCodec codec,
            TimeSource time) {
        Node node = new Node(settings, store, port, relays, codec, time);
        relays.attach(node.new Host());
        node.startThreads();
        return node;
    }

    private void startThreads() {
        control.onChange(state -> {
            OwnershipTerm current = term;
            if (current != null) {
                current.updateControl(state);
            }
        });
        startThread("control", controlFollower::run);
        startThread("jobs", jobFollower::run);
        startThread("progress", progressFollower::run);
        startThread("writer", writer::run);
        // A platform thread, because virtual threads wait for each other while this node is overloaded.
        startThread(Thread.ofPlatform().daemon(), "membership", () -> membership.run(this::copiesLoaded));
    }

    private boolean copiesLoaded() {
        return controlFollower.loaded() && jobFollower.loaded() && progressFollower.loaded();
    }

    private void startThread(String name, Runnable loop) {
        startThread(Thread.ofVirtual(), name, loop);
    }

    private void startThread(Thread.Builder builder, String name, Runnable loop) {
        builder.name(name).start(() -> Threads.runSupervised(name, loop, () -> !leaving, metrics::threadFailed));
    }

    private Map<String, Resources> accountUsage() {
        OwnershipTerm current = term;
        return current == null ? Map.of() : current.accountUsage();
    }

    private boolean isOwner() {
        OwnershipTerm current = term;
        return current != null && current.active();
    }

    /** Decides by the membership whether this node takes over the ownership. */
    private final class MembershipOwnership implements GroupMembership.Ownership {
        private final RelaySchedule relaySchedule = new RelaySchedule(HANDOVER_TIME);
        /** Whether this node has to become another member to get a newer token. */
        private volatile boolean rejoins;

        @Override
        public boolean termEnded() {
            OwnershipTerm current = term;
            return !leaving && (rejoins || (current != null && (!current.active() || offers(current))));
        }

        private boolean offers(OwnershipTerm current) {
            Optional<OwnerAbilities.Lack> lack = current.offerDue();
            lack.ifPresent(missing -> Events.warn(
                    "ownership-offered",
                    "token",
                    current.token(),
                    "ability",
                    missing.ability(),
                    "ageMs",
                    missing.age().toMillis()));
            return lack.isPresent();
        }

        @Override
        public void memberChanged(Member member) {
            takeoverPolicy = new TakeoverPolicy(member, time.nanos());
            rejoins = false;
            OwnershipTerm current = term;
            if (current != null && current.active()) {
                // The term goes on until a newer owner fences it, or this node records its new id as the owner's.
                current.storage().changeMember(member.id());
                return;
            }
            term = null;
            relays.setRelays(Map.of());
        }

        /** Takes over the ownership if the policy says so; an owner stays the owner when partitions are reassigned. */
        @Override
        public void review(StateStore.Membership joined, long sentAt) throws NotRunException {
            if (leaving) {
                return;
            }
            OwnershipTerm current = term;
            if (current != null) {
                checkSuperseded(current);
                if (current.active() && relaySchedule.isDue(joined.generation(), time.nanos())) {
                    updateRelays(joined.generation(), store.members());
                    current.relaysChanged();
                }
                return;
            }
            takeoverPolicy.updateCopies(copiesAge().compareTo(HandoverPolicy.MAX_AGE) < 0, time.nanos());
            TakeoverPolicy.Decision decision = takeoverPolicy.decide(joined, replica.owner(), time.nanos());
            if (decision instanceof TakeoverPolicy.RefreshMembers) {
                decision = refreshAndDecide(joined);
            }
            TopicFollower workerFollower =
                    new TopicFollower(store, StateStore.Topic.WORKERS, workers, () -> WORKERS_POLL, permissionTime);
            if (decision instanceof TakeoverPolicy.TakeOver) {
                // The inputs may be outdated, so the decision is repeated with the latest owner and members. A member
                // that cannot read what it has to know of must not fence an owner that still extends leases.
                workers.onChange(_ -> {});
                boolean read = false;
                try {
                    TopicFollower.catchUpBoth(workerFollower, progressFollower);
                    read = true;
                } finally {
                    takeoverPolicy.updateReads(read, time.nanos());
                }
                decision = refreshAndDecide(joined);
            }
            switch (decision) {
                case TakeoverPolicy.RefreshMembers _ -> {}
                case TakeoverPolicy.Decline decline ->
                    takeoverEvents.declined(decline.assessment(), joined.generation(), replica.owner());
                case TakeoverPolicy.Rejoin rejoin -> {
                    takeoverEvents.declined(rejoin.assessment(), joined.generation(), replica.owner());
                    rejoins = true;
                }
                case TakeoverPolicy.TakeOver takeOver -> {
                    TakeoverEvents.taken(takeOver.assessment(), joined.generation(), replica.owner());
                    takeOver(takeOver.token(), sentAt, workerFollower);
                }
            }
        }

        private TakeoverPolicy.Decision refreshAndDecide(StateStore.Membership joined) throws NotRunException {
            Set<String> members = store.members();
            takeoverPolicy.updateMembers(joined.generation(), members);
            updateRelays(joined.generation(), members);
            return takeoverPolicy.decide(joined, replica.owner(), time.nanos());
        }

        private void updateRelays(long generation, Set<String> members) {
            Map<String, RelayEndpoint> others = new HashMap<>();
            for (String id : members) {
                Member other = Member.parse(id);
                if (!other.node().equals(settings.name())) {
                    other.relay().ifPresent(endpoint -> others.put(other.node(), endpoint));
                }
            }
            relays.setRelays(relaySchedule.read(generation, others, time.nanos()));
        }
    }

    /** What relays have to know of this node. */
    private final class Host implements RelayNetwork.Host {
        @Override
        public Optional<RelayNetwork.RelayOwner> owner() {
            return replica.owner()
                    .map(owner -> new RelayNetwork.RelayOwner(
                            Member.parse(owner.member()).node(), owner.token(), owner.relayKey()));
        }

        @Override
        public Optional<String> payload(JobId job, Duration timeout) throws NotRunException {
            return answers.find(job, timeout).map(view -> view.spec().payload());
        }
    }

    private void checkSuperseded(OwnershipTerm current) {
        current.storage().confirmed(progressFollower.freshAsOf());
        Optional<OwnerRecord> owner = replica.owner();
        if (owner.isPresent() && owner.get().token() > current.token()) {
            current.fenced("member " + owner.get().member());
        }
    }

    private Duration copiesAge() {
        return Collections.max(List.of(controlFollower.age(), jobFollower.age(), progressFollower.age()));
    }

    private void takeOver(long token, long sentAt, TopicFollower workerFollower) {
        OwnershipTerm next = new OwnershipTerm(
                token,
                store,
                port,
                replica,
                permissionTime,
                settings,
                relays,
                metrics,
                () -> Collections.max(List.of(controlFollower.age(), jobFollower.age(), workerFollower.age())));
        // A call to a slow store takes 0.3 s or more, so calls that need not follow the fence run concurrently with it.
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<?> jobsCaughtUp = TopicFollower.catchUp(jobFollower, executor);
            Future<?> workersCaughtUp = TopicFollower.catchUp(workerFollower, executor);
            next.storage().fenceEarlierOwners(membership.memberId(), progressFollower);
            jobsCaughtUp.get();
            workersCaughtUp.get();
            if (replica.lacksPlacedJobs()) {
                jobFollower.catchUp();
            }
            term = next;
            if (leaving) {
                next.end();
                return;
            }
            next.start(control.state(), workers.all());
            workers.onChange(next::updateWorkers);
            startThread("workers", () -> followWorkers(workerFollower, next));
            Events.info(
                    "ownership-taken",
                    "token",
                    token,
                    "tookMs",
                    Duration.ofNanos(time.nanos() - sentAt).toMillis(),
                    "workers",
                    workers.all().size());
        } catch (NotRunException
                | OutcomeUnknownException
                | StaleEpochException
                | UnstorableException
                | ExecutionException
                | RuntimeException e) {
            next.end();
            // The store may have recorded this member as the owner, so the node rejoins under a new member id.
            term = next;
            Events.warn("takeover-failed", "token", token, "cause", e.getMessage());
        } catch (InterruptedException e) {
            next.end();
            Thread.currentThread().interrupt();
        }
    }

    private static void followWorkers(TopicFollower follower, OwnershipTerm term) {
        follower.run(term::active);
    }

    /** Returns the client accounts, for the callers of this node. */
    public AccountService accounts() {
        return accounts;
    }

    @Override
    public ControlState control() {
        return control.state();
    }

    @Override
    public Receipt submit(JobSpec job, Duration timeout) {
        if (replica.find(job.id()).isPresent()) {
            Events.info("job-known", "job", job.id());
            return Receipt.STORED;
        }
        long start = time.nanos();
        StateStore.Entry entry = JobReplica.jobEntry(job);
        Receipt receipt = writer.accepts(entry) ? writer.append(entry, timeout) : Receipt.TOO_LARGE;
        if (receipt == Receipt.STORED) {
            replica.applyJob(job);
        }
        metrics.recordSubmission(receipt, Duration.ofNanos(time.nanos() - start));
        Events.info("job-submitted", "job", job.id(), "queue", job.queue().key(), "receipt", receipt);
        return receipt;
    }

    @Override
    public Receipt cancel(JobId id, Duration timeout) {
        long start = time.nanos();
        boolean known;
        try {
            Optional<JobReplica.JobView> job = answers.find(id, timeout);
            known = job.isPresent();
            if (known && (job.get().cancelled() || job.get().state().isFinal())) {
                return Receipt.STORED;
            }
        } catch (NotRunException e) {
            Events.warn("cancel-refused", "job", id, "cause", e.getMessage());
            return Receipt.NOT_STORED;
        }
        Receipt receipt = writer.append(JobReplica.cancelEntry(id), remaining(start, timeout));
        if (receipt == Receipt.STORED) {
            replica.applyCancellation(id);
        }
        Events.info("job-cancelled", "job", id, "known", known, "receipt", receipt);
        // An append of the job may still be repeated, so that it would run if the cancellation was not stored.
        return receipt == Receipt.STORED && !known ? Receipt.NO_JOB : receipt;
    }

    @Override
    public Optional<JobState> state(JobId id, Duration timeout) throws NotRunException {
        return answers.state(id, timeout);
    }

    @Override
    public int pendingJobs(String queueKey, Duration timeout) throws NotRunException {
        return answers.pendingJobs(queueKey, timeout);
    }

    private Duration remaining(long start, Duration timeout) {
        return timeout.minusNanos(time.nanos() - start);
    }

    @Override
    public String metrics() {
        return metrics.toText();
    }

    @Override
    public boolean ready() {
        return !leaving
                && control.state().version() >= 0
                && jobFollower.loaded()
                && progressFollower.loaded()
                && jobFollower.age().compareTo(MAX_READY_AGE) < 0;
    }

    /** Gives up ownership and membership, so that another node can take over immediately. */
    @Override
    public void close() {
        leaving = true;
        OwnershipTerm current = term;
        if (current != null) {
            current.close(MAX_HANDOVER_WAIT);
        }
        membership.leave();
        Events.info("node-left", "member", membership.memberId());
    }
}
