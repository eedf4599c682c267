package org.chestnutbarrow.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;
import org.chestnutbarrow.format.Json;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/**
 * A whole deployment as processes on loopback: log, host list, workers, daemons and, if asked for, the fault proxy.
 * Used by the demo, the bench and the integration tests. Safe for use by several threads.
 *
 * <pre>{@code
 * try (Cluster cluster = Cluster.start(ClusterSpec.hivatal(3, 9), folder)) {
 *     cluster.awaitReady(Duration.ofSeconds(30));
 * }
 * }</pre>
 */
public final class Cluster implements AutoCloseable {
    private static final Duration START_TIME = Duration.ofSeconds(60);
    private static final Duration POLL = Duration.ofMillis(50);
    private static final Duration CALL_TIME = Duration.ofSeconds(15);
    private static final int MAX_ANSWER_BYTES = 512 * 1024 * 1024;
    private static final String STANDIN = "org.chestnutbarrow.standin.Main";
    private static final String CLI = "org.chestnutbarrow.cli.Main";
    private static final String DAEMON = "org.chestnutbarrow.daemon.Main";
    private static final List<String> STANDIN_JVM = List.of("-Xmx512m", "-XX:+UseSerialGC");
    // The same flags as in ./run, so that measurements are made within the daemon's memory budget.
    private static final List<String> DAEMON_JVM = List.of(
            "-Xms64m",
            "-Xmx128m",
            "-XX:MaxDirectMemorySize=32m",
            "-XX:MaxMetaspaceSize=64m",
            "-XX:ReservedCodeCacheSize=32m",
            "-Xss512k",
            "-XX:+UseSerialGC");

    private final ClusterSpec spec;
    private final Path folder;
    private final List<String> daemonJvm;
    private final Processes processes;
    private final HttpClient http = new HttpClient(MAX_ANSWER_BYTES);
    private final Map<String, Address> daemons = new TreeMap<>();
    private final Map<String, Address> peers = new TreeMap<>();
    private final Map<String, Address> proxied = new TreeMap<>();
    private Address log;
    private Address hosts;
    private Address workers;
    private Address proxy;

    private Cluster(ClusterSpec spec, Path folder, List<String> daemonProperties) {
        this.spec = spec;
        this.daemonJvm =
                Stream.concat(DAEMON_JVM.stream(), daemonProperties.stream()).toList();
        this.folder = folder;
        this.processes = new Processes(folder);
    }

    /** Starts all processes; does not wait until the daemons are ready. */
    public static Cluster start(ClusterSpec spec, Path folder) throws IOException, InterruptedException {
        return start(spec, folder, List.of());
    }

    /** The same with JVM options such as {@code -Dname=value} for all daemons. */
    static Cluster start(ClusterSpec spec, Path folder, List<String> daemonProperties)
            throws IOException, InterruptedException {
        Cluster cluster = new Cluster(spec, folder, daemonProperties);
        try {
            cluster.startAll();
            return cluster;
        } catch (IOException | InterruptedException | RuntimeException e) {
            cluster.close();
            throw e;
        }
    }

    /** Names of all configured daemons, whether they run or not. */
    public List<String> daemonNames() {
        return List.copyOf(daemons.keySet());
    }

    /** Where callers and operators reach a daemon. */
    public Address daemon(String name) {
        return daemons.get(name);
    }

    /** Where the workers' faults are switched and their journals are read. */
    public Address workers() {
        return workers;
    }

    /** Where the log's faults are switched. */
    public Address log() {
        return log;
    }

    /** Where the host list's faults are switched. */
    public Address hosts() {
        return hosts;
    }

    /** Where the proxy's faults are switched; only if the deployment is proxied. */
    public Address proxy() {
        return proxy;
    }

    /** The processes, to be killed or paused. */
    public Processes processes() {
        return processes;
    }

    /** The client that all calls of the harness go through. */
    public HttpClient http() {
        return http;
    }

    /** Starts a daemon that was killed, as a new process with the same settings. */
    public void startDaemon(String name) throws IOException {
        processes.start(name, daemonJvm, DAEMON, List.of(settings(name).toString()));
    }

    /** Waits until every running daemon is ready. */
    public void awaitReady(Duration atMost) throws InterruptedException {
        await(
                "all daemons ready",
                atMost,
                () -> daemons.entrySet().stream()
                        .filter(entry -> processes.alive(entry.getKey()))
                        .allMatch(entry -> status(entry.getValue(), "/ready") == 200));
    }

    /** Waits for a condition; fails with the name of what was awaited. */
    public static void await(String what, Duration atMost, Condition condition) throws InterruptedException {
        long end = System.nanoTime() + atMost.toNanos();
        while (!condition.holds()) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("not seen within " + atMost + ": " + what);
            }
            Thread.sleep(POLL);
        }
    }

    /** Something that becomes true. */
    @FunctionalInterface
    public interface Condition {
        /** Whether it is true now. */
        boolean holds();
    }

    /** Reads JSON from an address. */
    public JsonNode get(Address address, String target) throws IOException {
        return call(address, HttpRequest.get(target));
    }

    /** Sends JSON to an address. */
    public JsonNode post(Address address, String target, String json) throws IOException {
        return call(address, HttpRequest.json("POST", target, json));
    }

    /** Path of the settings file of a daemon. */
    public Path settingsOf(String name) {
        return settings(name);
    }

    /** Runs a daemon that must refuse to start, until it ends; returns its exit code. Its output is in NAME.out. */
    public int runDaemon(String name, Path settings) throws IOException, InterruptedException {
        return processes.run(name, DAEMON, List.of(settings.toString()));
    }

    /** Runs the command line against the given daemons; returns its exit code. */
    public int cli(List<String> daemonsToUse, List<String> arguments) throws IOException, InterruptedException {
        String addresses = String.join(
                ",",
                daemonsToUse.stream().map(name -> daemons.get(name).toString()).toList());
        List<String> all = new ArrayList<>(List.of("--daemon", addresses));
        all.addAll(arguments);
        return processes.run("cli", CLI, all);
    }

    private JsonNode call(Address address, HttpRequest request) throws IOException {
        try {
            HttpResponse response = http.send(address, request, CALL_TIME);
            JsonNode body = Json.MAPPER.readTree(response.body());
            if (body instanceof ObjectNode object && !object.has("status")) {
                object.put("status", response.status());
            }
            return body;
        } catch (NotRunException | OutcomeUnknownException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private int status(Address address, String target) {
        try {
            return http.send(address, HttpRequest.get(target), CALL_TIME).status();
        } catch (NotRunException | OutcomeUnknownException e) {
            return -1;
        }
    }

    private void startAll() throws IOException, InterruptedException {
        long maxAge = spec.logMaxAgeSeconds();
        log = standin("log", List.of("log", "--max-age-s", String.valueOf(maxAge)), "address");
        hosts = standin("hosts", List.of("hosts"), "address");
        List<String> options = new ArrayList<>(List.of("workers", "--hosts", hosts.toString()));
        options.addAll(List.of("--count", String.valueOf(spec.workers())));
        options.addAll(List.of("--zones", String.join(",", spec.zones())));
        options.addAll(List.of("--cores", String.valueOf(spec.cores())));
        options.addAll(List.of("--memory-mib", String.valueOf(spec.memoryMiB())));
        options.addAll(List.of("--accelerators", String.valueOf(spec.accelerators())));
        options.addAll(List.of("--seed", String.valueOf(spec.seed())));
        spec.serviceTimes().forEach((name, time) -> options.addAll(List.of("--service", name + "=" + time)));
        workers = standin("workers", options, "address");
        for (int i = 1; i <= spec.daemons(); i++) {
            daemons.put("entry-" + i, freeAddress());
            peers.put("entry-" + i, freeAddress());
        }
        if (spec.proxied()) {
            startProxy();
        }
        for (String name : daemons.keySet()) {
            writeSettings(name);
            startDaemon(name);
        }
    }

    private void startProxy() throws IOException, InterruptedException {
        List<String> options = new ArrayList<>(List.of("proxy"));
        for (String from : daemons.keySet()) {
            options.addAll(List.of("--pair", from + ":log=" + log));
            for (String to : daemons.keySet()) {
                if (!from.equals(to)) {
                    options.addAll(List.of("--pair", from + ":" + to + "=" + peers.get(to)));
                }
            }
        }
        proxy = standin("proxy", options, "address");
        JsonNode pairs =
                Json.MAPPER.readTree(folder.resolve("proxy.json").toFile()).path("pairs");
        pairs.properties()
                .forEach(entry -> proxied.put(
                        entry.getKey(),
                        Address.parse(entry.getValue().path("listen").asText())));
    }

    private Address standin(String name, List<String> arguments, String field)
            throws IOException, InterruptedException {
        Path file = folder.resolve(name + ".json");
        Files.deleteIfExists(file);
        List<String> all = new ArrayList<>(List.of("--addresses", file.toString()));
        all.addAll(arguments);
        processes.start(name, STANDIN_JVM, STANDIN, all);
        await(name + " has started", START_TIME, () -> Files.exists(file) || !processes.alive(name));
        if (!Files.exists(file)) {
            throw new IOException(name + " ended at start: " + Files.readString(folder.resolve(name + ".out")));
        }
        return Address.parse(Json.MAPPER.readTree(file.toFile()).path(field).asText());
    }

    private Path settings(String name) {
        return folder.resolve(name + ".jsonc");
    }

    private void writeSettings(String name) throws IOException {
        int index = daemonNames().indexOf(name);
        ObjectNode settings = JsonNodeFactory.instance
                .objectNode()
                .put("id", name)
                .put("availabilityZone", spec.zones().get(index % spec.zones().size()))
                .put("http", daemons.get(name).toString())
                .put("peer", peers.get(name).toString())
                .put("peerKey", "a key for this run only")
                .put("log", via(name, "log", log).toString())
                .put("hostList", hosts.toString())
                .put("logTo", folder.resolve(name + ".log").toString());
        ObjectNode others = settings.putObject("peers");
        peers.forEach((peer, address) -> {
            if (!peer.equals(name)) {
                others.put(peer, via(name, peer, address).toString());
            }
        });
        Files.writeString(settings(name), settings.toPrettyString());
    }

    private Address via(String from, String to, Address direct) {
        return spec.proxied() ? proxied.get(from + ":" + to) : direct;
    }

    /** A free port on a loopback address that no other run is likely to use at the same time. */
    private static Address freeAddress() throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String ip = "127." + random.nextInt(1, 255) + "." + random.nextInt(256) + "." + random.nextInt(1, 255);
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
            return new Address(ip, socket.getLocalPort());
        }
    }

    /** Sizes of the daemons' processes in MiB, as the kernel counts resident pages. */
    public Map<String, Long> residentMiB() throws IOException {
        Map<String, Long> sizes = new LinkedHashMap<>();
        for (String name : daemons.keySet()) {
            if (processes.alive(name)) {
                Path status = Path.of("/proc", String.valueOf(processes.pid(name)), "status");
                try (Stream<String> lines = Files.lines(status)) {
                    lines.filter(line -> line.startsWith("VmRSS:"))
                            .map(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024)
                            .forEach(size -> sizes.put(name, size));
                }
            }
        }
        return sizes;
    }

    /** Kills all processes. */
    @Override
    public void close() {
        processes.close();
        http.close();
    }

    /** Removes a folder with all that is in it. */
    public static void delete(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }
}
