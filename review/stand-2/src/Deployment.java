import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: a store, nodes as processes, workers. Used by one thread, except where it says otherwise. */
final class Deployment implements AutoCloseable {
    static final String HOST = "desk.example";
    static final String PREFIX = "/lookup/";
    static final String OTHER_PREFIX = "/reconcile/";
    static final String SERVICE = "desk";

    final Record record;
    final Store store;
    final List<NodeProcess> nodes = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    private final Path folder;

    Deployment(Record record, int nodeCount, int workerCount) throws IOException, InterruptedException {
        this.record = record;
        folder = Files.createTempDirectory("review-2-");
        String storeIp = Loopback.address();
        store = new Store(storeIp);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        store.put("keyed.op", "config", Body.bytes(config(1)));
        for (int i = 0; i < workerCount; i++) {
            String ip = Loopback.address();
            Worker worker = new Worker("i-00000" + i, ip, SERVICE, "z" + i % 3, store, record);
            workers.add(worker);
            worker.register(ip + ":" + worker.port());
        }
        for (int i = 0; i < nodeCount; i++) {
            NodeProcess node = new NodeProcess("front-" + i, "z" + i % 3, folder, storeIp + ":" + store.port());
            nodes.add(node);
            node.start();
        }
    }

    static ObjectNode config(int version) {
        ObjectNode root = Body.object().put("version", version);
        ArrayNode routes = root.putArray("routes");
        for (String prefix : List.of(PREFIX, OTHER_PREFIX)) {
            routes.addObject()
                    .put("name", "r-" + (routes.size() + 1))
                    .put("host", HOST)
                    .put("path_prefix", prefix)
                    .put("kind", "unsafe")
                    .put("timeout_ms", 3000)
                    .put("target_latency_ms", 250)
                    .put("priority", 0)
                    .put("service", SERVICE)
                    .put("max_attempts", 3)
                    .put("stretch", 1.5);
        }
        root.putArray("services")
                .addObject()
                .put("name", SERVICE)
                .put("health_path", "/health")
                .put("max_conns", 64)
                .put("protocol", "h1")
                .put("tls", false)
                .put("enforces_capacity", false)
                .put("spare", false);
        root.putObject("limits")
                .put("max_header_bytes", 16384)
                .put("max_body_bytes", 262144)
                .put("header_timeout_ms", 3000)
                .put("idle_timeout_ms", 15000);
        return root;
    }

    /** Waits until all nodes are ready. */
    void awaitReady() throws InterruptedException, IOException {
        long deadline = System.nanoTime() + 30_000_000_000L;
        for (NodeProcess node : nodes) {
            while (Call.send(node.ip, 8167, "GET", HOST, "/-/ready", "", 1000).status() != 200) {
                if (System.nanoTime() - deadline > 0) {
                    throw new IOException(node.name + " is not ready: " + node.log());
                }
                Thread.sleep(100);
            }
        }
        record.add("all nodes are ready");
    }

    /** Starts nodes again that ended by themselves, a second after their end was seen. */
    void restartEnded() throws IOException {
        long now = System.nanoTime();
        for (NodeProcess node : nodes) {
            if (node.isAlive()) {
                continue;
            }
            if (!node.endSeen) {
                node.endSeen = true;
                node.endSeenAt = now;
                node.ends++;
                record.add(node.name + " ended by itself with exit code " + node.exitCode());
            } else if (now - node.endSeenAt >= 1_000_000_000L) {
                node.endSeen = false;
                node.start();
                record.add(node.name + " is started again");
            }
        }
    }

    /** Hands in a job of steps with the same number of tasks; returns whether it was accepted. */
    boolean submit(int node, String id, String spec, int count, int cpu, int estimateMs) {
        ObjectNode job = Body.object().put("spec", spec);
        job.putArray("steps")
                .addObject()
                .put("count", count)
                .put("cpu", cpu)
                .put("mem_mb", 256)
                .put("estimate_ms", estimateMs);
        return submit(node, id, job);
    }

    boolean submit(int node, String id, ObjectNode job) {
        Call.Answer answer =
                Call.send(nodes.get(node).ip, 8161, "POST", HOST, PREFIX + id, job.toString(), 3000);
        record.add("POST " + id + " at " + nodes.get(node).name + " is answered " + answer.status());
        return answer.status() == 200;
    }

    /** Sends a call about a job as a client of one queue. */
    Call.Answer call(int node, String method, String prefix, String id, String body) {
        Call.Answer answer = Call.send(nodes.get(node).ip, 8161, method, HOST, prefix + id, body, 3000);
        record.add(method + " " + prefix + id + " at " + nodes.get(node).name + " is answered " + answer.status() + " "
                + answer.body());
        return answer;
    }

    /** Cancels a job; returns the status of the answer. */
    int cancel(int node, String id) {
        return Call.send(nodes.get(node).ip, 8161, "DELETE", HOST, PREFIX + id, "", 3000).status();
    }

    Call.Answer state(int node, String id) {
        return Call.send(nodes.get(node).ip, 8161, "GET", HOST, PREFIX + id, "", 3000);
    }

    @Override
    public void close() {
        nodes.forEach(NodeProcess::close);
        workers.forEach(Worker::close);
        store.close();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                // The folder is gone already.
            }
        }
    }
}
