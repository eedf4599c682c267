package review.stand;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A worker that does not guard its capacity. The payload of a task says what it does: "work N" ends done after N ms,
 * "fail N" ends failed after N ms, "stay" runs until it is stopped. Guarded by the monitor of this object.
 */
final class Worker {
    private static final int MAX_HOLD_MS = 6000;
    private static final int STOP_MS = 100;
    private static final int WARM_UP_MS = 300;
    private static final int ANSWER_MS = 1;

    /** Receives what a worker runs. */
    interface Observer {
        void started(Worker worker, String task, int run, String payload);

        void ended(Worker worker, String task, int run, String how);

        void acknowledged(Worker worker, String task, int run, String how);
    }

    private static final class Run {
        String payload;
        int run;
        long startedAt;
        long stopAt = -1;
        int percent = 100;
    }

    private record End(long number, String task, int run, String how) {}

    final String id;
    final String ip;
    private final Store store;
    private final Log log;
    private final Observer observer;
    private final int cpu;
    private int port;
    private Http.Server server;
    private long seq;
    /** While set, calls get no answer and have no effect; the worker itself runs on. */
    volatile boolean cut;

    private boolean up;
    private long born;
    private long clockBegin;
    private long fence;
    private long leaseUntil;
    private long nextEnd;
    private final TreeMap<String, Run> running = new TreeMap<>();
    private final List<End> ended = new ArrayList<>();
    private final Map<String, Integer> closedRuns = new HashMap<>();

    Worker(String id, String ip, int cpu, Store store, Log log, Observer observer) throws IOException {
        this.id = id;
        this.ip = ip;
        this.cpu = cpu;
        this.store = store;
        this.log = log;
        this.observer = observer;
        start();
        Thread.ofVirtual().start(this::beat);
        Thread.ofVirtual().start(this::tick);
    }

    /** Starts a life, at the address and under the id of the one before. */
    synchronized void start() throws IOException {
        born = System.currentTimeMillis();
        clockBegin = System.nanoTime();
        fence = 0;
        leaseUntil = 0;
        nextEnd = 1;
        seq = 0;
        server = new Http.Server(ip, port, this::handle);
        port = server.port();
        up = true;
        log.add("worker " + id + " is up, born " + born);
        register();
    }

    /** Ends the life at once: what runs is gone, and nothing is said. */
    synchronized void crash() {
        up = false;
        server.stop();
        log.add("worker " + id + " crashes with " + running.size() + " runs");
        running.forEach((task, run) -> observer.ended(this, task, run.run, "crashed"));
        running.clear();
        ended.clear();
        closedRuns.clear();
        notifyAll();
    }

    private synchronized void register() {
        if (up && !store.down) {
            seq++;
            store.heartbeat(id, "{\"service\":\"pool\",\"address\":\"" + ip + ":" + port
                    + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":" + born
                    + ",\"capacity\":{\"cpu\":" + cpu + ",\"mem_mb\":64000,\"gpu\":0},\"labels\":[\"k\",\"r1-1\"],\"clock_ms\":"
                    + clock() + ",\"seq\":" + seq + "}");
        }
    }

    private void beat() {
        while (true) {
            sleep(Store.HEARTBEAT_MS);
            register();
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long clock() {
        return (System.nanoTime() - clockBegin) / 1_000_000;
    }

    synchronized int runningCount() {
        return running.size();
    }

    private void tick() {
        while (true) {
            sleep(5);
            synchronized (this) {
                if (!up || running.isEmpty()) {
                    continue;
                }
                long now = clock();
                boolean lapsed = now >= leaseUntil;
                for (Map.Entry<String, Run> entry : List.copyOf(running.entrySet())) {
                    Run run = entry.getValue();
                    String[] words = run.payload.split(" ");
                    long age = now - run.startedAt;
                    if (run.stopAt >= 0 && now >= run.stopAt) {
                        end(entry.getKey(), run, "stopped");
                    } else if (lapsed) {
                        end(entry.getKey(), run, "lapsed");
                    } else if (!words[0].equals("stay") && age >= Long.parseLong(words[1])) {
                        end(entry.getKey(), run, words[0].equals("fail") ? "failed" : "done");
                    }
                }
            }
        }
    }

    /** Ends all runs of a submission on this worker in the given way. */
    synchronized void endRuns(String submission, String how) {
        for (Map.Entry<String, Run> entry : List.copyOf(running.entrySet())) {
            if (entry.getKey().startsWith(submission)) {
                end(entry.getKey(), entry.getValue(), how);
            }
        }
    }

    private void end(String task, Run run, String how) {
        running.remove(task);
        closedRuns.merge(task, run.run, Math::max);
        ended.add(new End(nextEnd++, task, run.run, how));
        observer.ended(this, task, run.run, how);
        notifyAll();
    }

    private Http.Response handle(Http.Request request) throws Exception {
        if (cut) {
            return null;
        }
        Http.Response response = answer(request);
        return cut ? null : response;
    }

    private Http.Response answer(Http.Request request) throws Exception {
        sleep(ANSWER_MS);
        if (request.path().equals("/health")) {
            return Http.Response.json(200, "{}");
        }
        if (!request.headers().getOrDefault("expect-instance", id).equals(id)) {
            return Http.Response.json(421, "{}");
        }
        JsonNode body = Store.JSON.readTree(request.body());
        synchronized (this) {
            long token = body.path("fencing_token").asLong(0);
            if (token < fence) {
                return refused("fence");
            }
            fence = token;
            return switch (request.path()) {
                case "/-/run-start" -> runStart(body);
                case "/-/run-stop" -> runStop(body);
                case "/-/hold" -> hold(body);
                case "/-/pace" -> pace(body);
                default -> Http.Response.json(404, "{}");
            };
        }
    }

    private Http.Response refused(String reason) {
        return Http.Response.json(409, "{\"clock_ms\":" + clock() + ",\"reason\":\"" + reason + "\"}");
    }

    private Http.Response done() {
        return Http.Response.json(200, "{\"clock_ms\":" + clock() + "}");
    }

    private void extend(JsonNode body) {
        if (body.has("deadline_ms")) {
            leaseUntil = Math.max(leaseUntil, Math.min(body.path("deadline_ms").asLong(), clock() + MAX_HOLD_MS));
        }
    }

    private Http.Response runStart(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        if (body.path("deadline_ms").asLong() <= clock()) {
            return refused("late");
        }
        extend(body);
        Run current = running.get(task);
        if (current != null && current.run == number) {
            return done();
        }
        if (number <= closedRuns.getOrDefault(task, 0) || (current != null && number <= current.run)) {
            return refused("old");
        }
        if (current != null) {
            return Http.Response.json(400, "{}");
        }
        Run run = new Run();
        run.payload = body.path("spec").asText();
        run.run = number;
        run.startedAt = clock();
        running.put(task, run);
        observer.started(this, task, number, run.payload);
        return done();
    }

    private Http.Response runStop(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        Run current = running.get(task);
        if (current != null && current.run == number) {
            if (current.stopAt < 0) {
                current.stopAt = clock() + STOP_MS;
            }
        } else {
            closedRuns.merge(task, number, Math::max);
        }
        return done();
    }

    private Http.Response pace(JsonNode body) {
        Run current = running.get(body.path("task").asText());
        if (current != null && current.run == body.path("run").asInt()) {
            current.percent = body.path("percent").asInt();
        }
        return done();
    }

    private Http.Response hold(JsonNode body) throws Exception {
        long life = born;
        long acknowledged = body.path("acked_up_to").asLong(0);
        ended.removeIf(end -> {
            if (end.number() <= acknowledged) {
                observer.acknowledged(this, end.task(), end.run(), end.how());
                return true;
            }
            return false;
        });
        extend(body);
        long deadline = System.nanoTime() + 1_000_000 * body.path("wait_ms").asLong(0);
        while (up && born == life && ended.isEmpty() && System.nanoTime() < deadline) {
            wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
        }
        if (!up || born != life) {
            throw new IOException("this life is over");
        }
        List<List<Object>> runs = new ArrayList<>();
        running.forEach((task, run) -> runs.add(List.of(task, run.run, "", percent(run), 5)));
        List<List<Object>> ends = new ArrayList<>();
        ended.stream().limit(500).forEach(end -> ends.add(List.of(end.number(), end.task(), end.run(), end.how(), "")));
        return Http.Response.json(
                200,
                Store.JSON.writeValueAsString(Map.of("clock_ms", clock(), "born", born, "running", runs, "ended", ends)));
    }

    private int percent(Run run) {
        String[] words = run.payload.split(" ");
        long total = words[0].equals("stay") ? WARM_UP_MS : Long.parseLong(words[1]);
        return (int) Math.min(100, 100 * (clock() - run.startedAt) / total);
    }
}
