import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * A sound worker as the users' pages describe it. The spec of a job has a word for each step, the last of which holds for
 * all steps after it, {@code MS[:HOW[:FIGURE]]}: how long a task works, how it ends ({@code lasts}: it is at work after
 * that time until it is stopped), and the figure that the worker reports of it. Thread-safe; all state is guarded by the
 * monitor of this object.
 */
final class Worker {
    static final long MAX_HOLD_MS = 6000;
    static final int STOP_MS = 100;
    static final int HEARTBEAT_MS = 1100;
    /** Time after which the connection of a lost call is closed; its sender has given up before. */
    private static final int LOST_MS = 5000;

    /** A run that this worker has; {@code stopAt} is in ns, 0 without a stop. */
    private static final class Run {
        final String task;
        final int run;
        final long startedAt = System.nanoTime();
        final long workMs;
        final String how;
        final int figure;
        long stopAt;

        Run(String task, int run, String[] words) {
            this.task = task;
            this.run = run;
            workMs = Long.parseLong(words[0]);
            how = words.length > 1 ? words[1] : "done";
            figure = words.length > 2 ? Integer.parseInt(words[2]) : 0;
        }

        boolean lasts() {
            return how.equals("lasts");
        }

        boolean isOver(long now) {
            return !lasts() && now - startedAt >= workMs * 1_000_000;
        }

        long percent(long now) {
            return lasts()
                    ? now - startedAt >= workMs * 1_000_000 ? 100 : 50
                    : Math.min(99, (now - startedAt) / 10_000 / Math.max(1, workMs));
        }
    }

    private record End(long number, String task, int run, String how) {}

    final String id;
    private long born = System.currentTimeMillis();
    private final String service;
    private final String zone;
    private final Store store;
    private final Record record;
    private final HttpServer server;
    private long startedAt = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<String> startedSpecs = new ArrayList<>();
    private final Map<String, Integer> last = new HashMap<>();
    private final TreeMap<Long, End> ends = new TreeMap<>();
    private long number;
    private long token;
    private long deadlineMs = -1;
    private long seq;
    private String address;
    private volatile int heartbeats;
    /** Whether calls are lost: none is carried out or answered. */
    private boolean unreachable;
    /** Whether the next hold that acknowledges ends is lost, to be carried out late. */
    private boolean delaysHold;

    private JsonNode delayedHold;
    /** Ends `done` that were forgotten on an acknowledgement, by task and run. */
    private final Map<String, Integer> forgotten = new LinkedHashMap<>();
    private volatile boolean closed;

    Worker(String id, String ip, String service, String zone, Store store, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(ip, 0), 1024);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::handle);
        server.start();
        address = ip + ":" + port();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Registers under an address, its own or that of a proxy before it, and keeps the entry up to date. */
    void register(String at) {
        address = at;
        Thread.ofVirtual().start(() -> {
            while (!closed) {
                store.put("keyed.servers", id, Body.bytes(entry()));
                heartbeats++;
                sleep(HEARTBEAT_MS);
            }
        });
        Thread.ofVirtual().start(() -> {
            while (!closed) {
                advance();
                sleep(5);
            }
        });
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns what the worker says of itself. */
    synchronized ObjectNode entry() {
        ObjectNode entry = Body.object()
                .put("service", service)
                .put("address", address)
                .put("zone", zone)
                .put("version", "v1")
                .put("slots", 8)
                .put("state", "ready")
                .put("cold_left_ms", 0);
        entry.putObject("capacity").put("cpu", 16000).put("mem_mb", 64000).put("gpu", 0);
        entry.putArray("labels").add("a").add("r1-" + id.charAt(id.length() - 1));
        return entry.put("born", born).put("clock_ms", clockMs()).put("seq", ++seq);
    }

    /** Waits until the worker has written its entry again. */
    void awaitHeartbeat() {
        int before = heartbeats;
        while (heartbeats == before) {
            sleep(1);
        }
    }

    synchronized List<String> runs() {
        List<String> result = new ArrayList<>();
        running.values().forEach(run -> result.add(run.task + " run " + run.run));
        return result;
    }

    /** Returns the spec of each start. */
    synchronized List<String> startedSpecs() {
        return List.copyOf(startedSpecs);
    }

    private long clockMs() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            JsonNode body = Body.parse(exchange.getRequestBody().readAllBytes());
            String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                Body.answer(exchange, 421, base());
                return;
            }
            if (isLost(exchange.getRequestURI().getPath(), body)) {
                Thread.sleep(LOST_MS);
                exchange.close();
                return;
            }
            switch (exchange.getRequestURI().getPath()) {
                case "/health" -> Body.answer(exchange, 200, Body.object());
                case "/-/run-start" -> refuseOr(exchange, start(body));
                case "/-/run-stop" -> refuseOr(exchange, stop(body));
                case "/-/pace" -> refuseOr(exchange, admit(body) ? "" : "fence");
                case "/-/hold" -> hold(exchange, body);
                default -> Body.answer(exchange, 404, Body.object());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            exchange.close();
        } catch (RuntimeException e) {
            e.printStackTrace();
            exchange.close();
        }
    }

    private ObjectNode base() {
        return Body.object().put("clock_ms", clockMs()).put("born", born);
    }

    private void refuseOr(HttpExchange exchange, String reason) throws IOException {
        if (reason.isEmpty()) {
            Body.answer(exchange, 200, base());
        } else {
            Body.answer(exchange, 409, base().put("reason", reason));
        }
    }

    private synchronized boolean isLost(String path, JsonNode body) {
        if (delaysHold && path.equals("/-/hold") && body.path("acked_up_to").asLong(0) >= 3) {
            delaysHold = false;
            delayedHold = body;
            unreachable = true;
            record.add(id + " a hold that acknowledges ends up to " + body.path("acked_up_to") + " is delayed");
            notifyAll();
        }
        return unreachable;
    }

    /** Delays the next hold that acknowledges ends and loses all calls after it; waits until it has come. */
    synchronized void delayNextHold() throws InterruptedException {
        delaysHold = true;
        long until = System.nanoTime() + 20_000_000_000L;
        while (delayedHold == null) {
            if (until - System.nanoTime() <= 0) {
                throw new IllegalStateException("no hold of " + id + " acknowledges ends");
            }
            wait(1000);
        }
    }

    /** Carries the delayed hold out, as a call without an answer may be. */
    synchronized void carryOutDelayedHold() {
        record.add(id + " the delayed hold is carried out; ends listed: " + ends.values());
        if (admit(delayedHold)) {
            long acknowledged = delayedHold.path("acked_up_to").asLong();
            List.copyOf(ends.headMap(acknowledged, true).values()).forEach(this::forget);
        }
    }

    private void forget(End end) {
        record.add(id + " forgets end " + end.number() + ": " + end.task() + " run " + end.run() + " " + end.how());
        ends.remove(end.number());
        if (end.how().equals("done")) {
            forgotten.put(end.task(), end.run());
        }
    }

    /** Returns the runs that ended `done` and are forgotten, by task. */
    synchronized Map<String, Integer> forgotten() {
        return Map.copyOf(forgotten);
    }

    /** Crashes: nothing runs any more, and the worker knows nothing of before. Calls are lost until it starts again. */
    synchronized void crash() {
        record.add(id + " crashes; it runs " + runs());
        unreachable = true;
        running.clear();
        last.clear();
        ends.clear();
        forgotten.clear();
        number = 0;
        token = 0;
        seq = 0;
        deadlineMs = -1;
    }

    /** Starts again under the same id. */
    void startAgain() {
        synchronized (this) {
            born = System.currentTimeMillis();
            startedAt = System.nanoTime();
            unreachable = false;
            record.add(id + " has started again, born " + born);
        }
        store.put("keyed.servers", id, Body.bytes(entry()));
    }

    synchronized void setUnreachable(boolean value) {
        record.add(id + (value ? " can't be reached" : " can be reached again"));
        unreachable = value;
    }

    private synchronized boolean admit(JsonNode body) {
        advance();
        long offered = body.path("fencing_token").asLong(0);
        if (offered < token) {
            return false;
        }
        token = offered;
        return true;
    }

    private void extend(long wantedMs) {
        deadlineMs = Math.max(deadlineMs, Math.min(wantedMs, clockMs() + MAX_HOLD_MS));
    }

    private synchronized String start(JsonNode body) {
        if (!admit(body)) {
            return "fence";
        }
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        long until = body.path("deadline_ms").asLong(-1);
        if (until <= clockMs()) {
            return "late";
        }
        extend(until);
        Run present = running.get(task);
        if (present != null && present.run == run) {
            return "";
        }
        if (run <= last.getOrDefault(task, 0) || (present != null && present.run > run)) {
            return "old";
        }
        String[] words = body.path("spec").asText().split(" ");
        String[] work = words[Math.min(words.length - 1, Integer.parseInt(task.split("\\.")[2]))].split(":");
        running.put(task, new Run(task, run, work));
        startedSpecs.add(body.path("spec").asText());
        record.add(id + " starts " + task + " run " + run + " token " + token);
        notifyAll();
        return "";
    }

    private synchronized String stop(JsonNode body) {
        if (!admit(body)) {
            return "fence";
        }
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        Run present = running.get(task);
        if (present != null && present.run == run) {
            if (present.stopAt == 0) {
                present.stopAt = System.nanoTime() + STOP_MS * 1_000_000L;
                record.add(id + " is told to stop " + task + " run " + run);
            }
        } else {
            last.merge(task, run, Math::max);
        }
        return "";
    }

    private void hold(HttpExchange exchange, JsonNode body) throws IOException, InterruptedException {
        ObjectNode answer = null;
        synchronized (this) {
            if (admit(body)) {
                if (body.has("deadline_ms")) {
                    extend(body.path("deadline_ms").asLong());
                }
                long acknowledged = body.path("acked_up_to").asLong(0);
                for (End end : List.copyOf(ends.headMap(acknowledged, true).values())) {
                    forget(end);
                }
                long until = System.nanoTime() + Math.min(2000, body.path("wait_ms").asLong(0)) * 1_000_000;
                while (ends.isEmpty() && until - System.nanoTime() > 0) {
                    wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                }
                answer = status();
            }
        }
        if (answer == null) {
            refuseOr(exchange, "fence");
        } else {
            Body.answer(exchange, 200, answer);
        }
    }

    private ObjectNode status() {
        ObjectNode answer = base();
        ArrayNode rows = answer.putArray("running");
        long now = System.nanoTime();
        for (Run run : running.values()) {
            rows.addArray()
                    .add(run.task)
                    .add(run.run)
                    .add("")
                    .add(run.percent(now))
                    .add(run.figure);
        }
        ArrayNode ended = answer.putArray("ended");
        ends.values().stream()
                .limit(500)
                .forEach(end -> ended.addArray()
                        .add(end.number())
                        .add(end.task())
                        .add(end.run())
                        .add(end.how())
                        .add(""));
        return answer;
    }

    /** Ends the runs that are due, have been stopped or have no lease any more. */
    private synchronized void advance() {
        long now = System.nanoTime();
        boolean lapsed = !running.isEmpty() && clockMs() > deadlineMs;
        for (Run run : List.copyOf(running.values())) {
            if (lapsed) {
                end(run, "lapsed");
            } else if (run.isOver(now)) {
                end(run, run.how);
            } else if (run.stopAt != 0 && now - run.stopAt >= 0) {
                end(run, "stopped");
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        last.merge(run.task, run.run, Math::max);
        ends.put(++number, new End(number, run.task, run.run, how));
        record.add(id + " ends " + run.task + " run " + run.run + " " + how);
        notifyAll();
    }

    void close() {
        closed = true;
        server.stop(0);
    }
}
