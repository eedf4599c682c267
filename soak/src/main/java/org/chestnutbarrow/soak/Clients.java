package org.chestnutbarrow.soak;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.chestnutbarrow.soak.Observation.JobState;

/** Clients that submit, repeat, cancel and query jobs, each job on threads of its own. Thread-safe. */
final class Clients implements AutoCloseable {
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    private static final int MIN_ASK_MS = 200;
    private static final int MAX_ASK_MS = 900;
    /** One of so many questions goes to any node and not to the one that has accepted the job. */
    private static final int ELSEWHERE = 5;

    /** A job in progress; counted down once for each task that is done. */
    private record Job(JobPlan plan, CountDownLatch tasksLeft, Set<TaskKey> done) {}

    private final ClientCalls calls;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final Map<String, Job> jobs = new ConcurrentHashMap<>();
    private final Set<String> accepted = ConcurrentHashMap.newKeySet();
    private final Set<String> finished = ConcurrentHashMap.newKeySet();

    Clients(ClientCalls calls, History history) {
        this.calls = calls;
        history.onEnd(this::runEnded);
    }

    private void runEnded(Observation.Ended ended) {
        Job job = jobs.get(ended.task().job());
        if (job != null && ended.how() == Observation.EndKind.DONE && job.done().add(ended.task())) {
            job.tasksLeft().countDown();
        }
    }

    /** Starts the clients of a job. */
    void start(JobPlan plan, SplittableRandom random) {
        Job job = new Job(plan, new CountDownLatch(plan.taskCount()), ConcurrentHashMap.newKeySet());
        jobs.put(plan.id(), job);
        SplittableRandom ownerRandom = random.split();
        threads.submit(() -> {
            own(job, ownerRandom);
            return true;
        });
        for (JobPlan.FollowUp followUp : plan.followUps()) {
            SplittableRandom followUpRandom = random.split();
            threads.submit(() -> {
                job.tasksLeft().await();
                Thread.sleep(followUp.after());
                return act(followUp.action(), job, followUpRandom);
            });
        }
        if (!plan.cancelAfter().isNegative()) {
            SplittableRandom cancelRandom = random.split();
            threads.submit(() -> {
                Thread.sleep(plan.cancelAfter());
                return act(JobPlan.Action.CANCEL, job, cancelRandom);
            });
        }
    }

    /** Submits a job that runs until the end of the play; it does not count among the accepted jobs. */
    void startServing(JobPlan plan, SplittableRandom random) {
        threads.submit(() -> {
            while (!calls.submit(anyNode(random), plan)) {
                Thread.sleep(RETRY_DELAY);
            }
            return true;
        });
    }

    private int anyNode(SplittableRandom random) {
        return random.nextInt(calls.nodes());
    }

    /** Submits until a node accepts the job, and then asks for its state until that is final. */
    private void own(Job job, SplittableRandom random) throws InterruptedException {
        String id = job.plan().id();
        int node = anyNode(random);
        while (!calls.submit(node, job.plan())) {
            Thread.sleep(RETRY_DELAY);
            node = anyNode(random);
        }
        accepted.add(id);
        Optional<JobState> state = Optional.empty();
        while (state.filter(JobState::isFinal).isEmpty()) {
            Thread.sleep(random.nextInt(MIN_ASK_MS, MAX_ASK_MS));
            // A question about a job that a node does not know makes it read the jobs at once.
            state = calls.ask(random.nextInt(ELSEWHERE) == 0 ? anyNode(random) : node, id);
        }
        finished.add(id);
    }

    /** Carries out an action once and returns whether it was answered as asked for. */
    private boolean act(JobPlan.Action action, Job job, SplittableRandom random) {
        int node = anyNode(random);
        return switch (action) {
            case RESUBMIT -> calls.submit(node, job.plan());
            case CANCEL -> calls.cancel(node, job.plan().id());
            case ASK -> calls.ask(node, job.plan().id()).isPresent();
        };
    }

    /** Asks all nodes for the states of all accepted jobs once more. */
    void askAll(Duration timeout) throws InterruptedException {
        try (ExecutorService askers = Executors.newFixedThreadPool(calls.nodes())) {
            for (int i = 0; i < calls.nodes(); i++) {
                int node = i;
                askers.submit(() -> accepted.forEach(id -> calls.ask(node, id)));
            }
            askers.shutdown();
            if (!askers.awaitTermination(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
                askers.shutdownNow();
            }
        }
    }

    /** Returns the accepted jobs. */
    Collection<String> accepted() {
        return Set.copyOf(accepted);
    }

    /** Returns the accepted jobs whose client has not been shown a final state. */
    Collection<String> unfinished() {
        return accepted.stream().filter(id -> !finished.contains(id)).sorted().toList();
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
