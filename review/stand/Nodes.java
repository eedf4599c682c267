package review.stand;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The system's own processes, each started with the command of the deploy file at a loopback address of its own. */
final class Nodes implements AutoCloseable {
    /** One process with its addresses. */
    static final class Node {
        final String name;
        final String front;
        final String ready;
        final Path settings;
        final Path output;
        Process process;

        Node(String name, String front, String ready, Path settings, Path output) {
            this.name = name;
            this.front = front;
            this.ready = ready;
            this.settings = settings;
            this.output = output;
        }

        boolean isReady() {
            Http.Response response = Http.call(ready, "GET", "/-/ready", Map.of(), "", 500);
            return response != null && response.status() == 200;
        }
    }

    final List<Node> all = new ArrayList<>();
    private final Path folder;
    private final List<String> command;
    private final Log log;

    Nodes(int count, String network, String storeAddress, Log log) throws IOException {
        this.log = log;
        folder = Files.createTempDirectory("review-case");
        command = deployCommand();
        for (int i = 1; i <= count; i++) {
            String ip = network + "." + (10 + i);
            int front = freePort(ip);
            int ready = freePort(ip);
            int internal = freePort(ip);
            Path settings = folder.resolve("node-" + i + ".json");
            Files.writeString(settings, settings("front-a-" + i, ip, front, ready, internal, storeAddress));
            all.add(new Node("front-a-" + i, ip + ":" + front, ip + ":" + ready, settings, folder.resolve("node-" + i + ".log")));
        }
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    private static List<String> deployCommand() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("no command in deploy/system.toml");
        }
        return List.of(matcher.group(1).split(" "));
    }

    private static String settings(String name, String ip, int front, int ready, int internal, String store) {
        return """
                {"node_name":"%s","role":"node","machine_class":"front","serves":["front"],"ip":"%s","zone":"a","region":"r",
                "zones":{"a":"r"},"listen":{"front":"%s:%d","ready":"%s:%d"},"internal_ports":[%d,%d],"seeds":[],
                "bootstrap":true,"limits":{"cpu_share":0.75,"cores":1,"memory_mb":430,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0},
                "data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1000,"orders":"invoke",
                "bounds":{"contact_ms":3000,"ack_ms":4000,"drain_ms":2000,"grace_s":6,"max_hold_ms":6000,"stop_timeout_ms":400,
                "cancel_ms":3000,"visible_ms":3000,"finish_s":14},
                "platform":{"address":"%s","form":"log","writes_per_s":800,"reads_per_s":2000,"parts":32,"record_bytes":262144,
                "request_bytes":2097152,"keep_s":300,"partition_mb":200,"min_ttl_ms":1000}}
                """
                .formatted(name, ip, ip, front, ip, ready, internal, internal + 1, store);
    }

    void start(Node node) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("CHESTNUTBARROW_BOOT", node.settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(node.output.toFile()));
        node.process = builder.start();
        log.add(node.name + " is started");
    }

    /** Starts all processes and waits until they are ready. */
    void startAll() throws IOException {
        for (Node node : all) {
            start(node);
        }
        long deadline = System.nanoTime() + 25_000_000_000L;
        for (Node node : all) {
            while (!node.isReady()) {
                if (System.nanoTime() - deadline > 0) {
                    throw new IOException(node.name + " does not become ready; it "
                            + (node.process.isAlive() ? "runs" : "ended with " + node.process.exitValue()));
                }
                Worker.sleep(100);
            }
        }
        log.add("all processes are ready");
    }

    /** Copies the lines of the processes' output that match, as the last part of the record. */
    void copyOutput(String pattern, int most) throws IOException {
        Pattern wanted = Pattern.compile(pattern);
        for (Node node : all) {
            if (Files.exists(node.output)) {
                List<String> lines = Files.readAllLines(node.output).stream().filter(l -> wanted.matcher(l).find()).toList();
                log.add("output of " + node.name + ": " + lines.size() + " lines match " + pattern);
                lines.stream().limit(most).forEach(line -> log.add("  " + line));
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (Node node : all) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
        for (Node node : all) {
            try {
                if (node.process != null) {
                    node.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        File[] files = folder.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            file.delete();
        }
        folder.toFile().delete();
    }
}
