package org.chestnutbarrow.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.chestnutbarrow.model.Address;

/**
 * A node in a process of its own on a loopback address. Thread-safe; the process is guarded by the monitor of this
 * object.
 */
final class NodeProcess implements AutoCloseable {
    private static final String SETTINGS_VARIABLE = "CHESTNUTBARROW_BOOT";
    private static final int API_PORT = 8161;
    private static final int READY_PORT = 8167;
    private static final int INTERNAL_PORT = 7720;
    private static final int GRACE_S = 4;
    private static final long MIN_TTL_MS = 1000;
    /** The flags of the deployment are for a machine of its own; several plays share one here. */
    private static final List<String> SMALL_HEAP = List.of("-Xms32m", "-Xmx96m");

    private final String name;
    private final String ip;
    private final List<String> command;
    private final Path settings;
    private final Path log;
    private Process process;

    /**
     * Creates a node that is not started yet.
     *
     * @param root folder of the sources, with the deployment file
     * @param folder folder for the settings and the output
     */
    NodeProcess(String name, Path root, Path folder, Address store) throws IOException {
        this.name = name;
        // Not from the seed, because several plays of one seed may run on a machine.
        ThreadLocalRandom random = ThreadLocalRandom.current();
        this.ip = "127." + random.nextInt(1, 255) + "." + random.nextInt(1, 255) + "." + random.nextInt(1, 255);
        this.settings = folder.resolve(name + ".json");
        this.log = folder.resolve(name + ".log");
        Files.write(settings, Json.bytes(settings(store)));
        command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(deploymentFlags(root));
        command.addAll(SMALL_HEAP);
        command.addAll(List.of(
                "-cp", System.getProperty("java.class.path"), org.chestnutbarrow.platform.Main.class.getName()));
    }

    /** Returns the flags of the Java machine from the deployment file. */
    private static List<String> deploymentFlags(Path root) throws IOException {
        String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow(() -> new IOException("deploy/system.toml has no line that starts with: run ="));
        return Arrays.stream(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'))
                        .split(" "))
                .filter(word -> word.startsWith("-X") || word.startsWith("-D") || word.startsWith("--"))
                .toList();
    }

    private ObjectNode settings(Address store) {
        ObjectNode root = Json.object().put("node_name", name).put("ip", ip).put("zone", WorkerStandIn.ZONE);
        root.putObject("listen")
                .put("front", apiAddress().toString())
                .put("ready", readyAddress().toString());
        root.putArray("internal_ports").add(INTERNAL_PORT).add(INTERNAL_PORT + 1);
        root.putObject("limits").put("cpu_share", 1).put("cores", 1).put("link_mbps", 1000);
        root.putObject("platform")
                .put("address", store.toString())
                .put("min_ttl_ms", MIN_TTL_MS)
                .put("record_bytes", Store.RECORD_BYTES)
                .put("request_bytes", Store.REQUEST_BYTES);
        root.putObject("bounds")
                .put("max_hold_ms", WorkerLife.MAX_LEASE.toMillis())
                .put("grace_s", GRACE_S);
        return root;
    }

    String name() {
        return name;
    }

    Address apiAddress() {
        return new Address(ip, API_PORT);
    }

    Address readyAddress() {
        return new Address(ip, READY_PORT);
    }

    synchronized void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put(SETTINGS_VARIABLE, settings.toString());
        process = builder.start();
    }

    /** Kills the process and waits for its end. */
    synchronized void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Asks the process to stop; kills it if it has not ended within its grace period. */
    synchronized void stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(Duration.ofSeconds(GRACE_S + 2).toMillis(), TimeUnit.MILLISECONDS)) {
            kill();
        }
    }

    /** Suspends the process. */
    void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Resumes the process. */
    void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    private synchronized void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid())
                .start()
                .waitFor();
    }

    @Override
    public synchronized void close() {
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
    }
}
