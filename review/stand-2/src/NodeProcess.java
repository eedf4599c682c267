import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A node, started with the command of the deploy file on a loopback address of its own. Used by one thread. */
final class NodeProcess {
    private static final Set<String> KEPT = Set.of("PATH", "HOME", "JAVA_HOME", "LANG");

    final String name;
    final String ip = Loopback.address();
    private final Path settings;
    private final Path log;
    private final List<String> command;
    private Process process;
    /** How often the process has ended by itself, and whether an end was seen that no start has followed yet. */
    int ends;

    boolean endSeen;
    long endSeenAt;

    NodeProcess(String name, String zone, Path folder, String storeAddress) throws IOException {
        this.name = name;
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        command = List.of(Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceAll("^run = \"|\"$", "")
                .split(" "));
        Files.write(settings, Body.bytes(settings(zone, storeAddress)));
    }

    private ObjectNode settings(String zone, String storeAddress) {
        ObjectNode root = Body.object()
                .put("node_name", name)
                .put("role", "node")
                .put("machine_class", "front")
                .put("ip", ip)
                .put("zone", zone)
                .put("region", "r")
                .put("bootstrap", true)
                .put("discovery", "platform")
                .put("heartbeat_ms", Worker.HEARTBEAT_MS)
                .put("orders", "invoke");
        root.putArray("serves").add("front");
        root.putObject("listen").put("front", ip + ":8161").put("ready", ip + ":8167");
        root.putArray("internal_ports").add(7720).add(7735);
        root.putObject("limits")
                .put("cpu_share", 0.75)
                .put("cores", 1)
                .put("memory_mb", 430)
                .put("max_fds", 4100)
                .put("link_mbps", 1000.0);
        root.putObject("bounds")
                .put("contact_ms", 3000)
                .put("ack_ms", 4000)
                .put("grace_s", 6)
                .put("max_hold_ms", Worker.MAX_HOLD_MS)
                .put("stop_timeout_ms", 400)
                .put("lease_ms", 3000);
        root.putObject("platform")
                .put("address", storeAddress)
                .put("form", "log")
                .put("writes_per_s", 800)
                .put("reads_per_s", 2000)
                .put("parts", 32)
                .put("record_bytes", 262144)
                .put("request_bytes", 2097152)
                .put("keep_s", 300)
                .put("min_ttl_ms", 1000);
        return root;
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(KEPT);
        environment.put("CHESTNUTBARROW_BOOT", settings.toString());
        process = builder.start();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    List<String> log() throws IOException {
        return Files.readAllLines(log);
    }

    void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
