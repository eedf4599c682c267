package org.chestnutbarrow.bench;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Java processes of one deployment. Safe for use by several threads. All processes that still run are killed by
 * {@link #close} and when this process ends.
 */
public final class Processes implements AutoCloseable {
    private static final Duration RUN_TIME = Duration.ofSeconds(60);
    private static final Duration STOP_TIME = Duration.ofSeconds(5);

    private final Path folder;
    private final Map<String, Process> running = new ConcurrentHashMap<>();
    private final Thread hook = new Thread(this::killAll, "stop-processes");

    /** Creates no process; output of processes goes to files in the folder. */
    Processes(Path folder) {
        this.folder = folder;
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /** Starts a main class of this build. */
    void start(String name, List<String> jvmOptions, String mainClass, List<String> arguments) throws IOException {
        running.put(name, launch(name, jvmOptions, mainClass, arguments));
    }

    /** Runs a main class of this build to its end; returns its exit code. */
    int run(String name, String mainClass, List<String> arguments) throws IOException, InterruptedException {
        Process process = launch(name, List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"), mainClass, arguments);
        if (!process.waitFor(RUN_TIME.toMillis(), TimeUnit.MILLISECONDS)) {
            process.destroyForcibly();
            throw new IOException(name + " did not end within " + RUN_TIME);
        }
        return process.exitValue();
    }

    private Process launch(String name, List<String> jvmOptions, String mainClass, List<String> arguments)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("--sun-misc-unsafe-memory-access=allow");
        command.add("--enable-native-access=ALL-UNNAMED");
        command.addAll(jvmOptions);
        command.add("-cp");
        command.add(System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
        command.add(mainClass);
        command.addAll(arguments);
        File output = folder.resolve(name + ".out").toFile();
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output))
                .start();
    }

    /** Names of the processes that run. */
    List<String> names() {
        return Collections.unmodifiableList(new ArrayList<>(running.keySet()));
    }

    /** Whether a process of that name runs. */
    public boolean alive(String name) {
        Process process = running.get(name);
        return process != null && process.isAlive();
    }

    /** Process id, for signals. */
    long pid(String name) {
        return running.get(name).pid();
    }

    /** Ends a process at once, as {@code kill -9} does. */
    public void kill(String name) throws InterruptedException {
        Process process = running.remove(name);
        process.destroyForcibly();
        process.waitFor();
    }

    /** Asks a process to end by SIGTERM; returns whether it did in time. */
    public boolean terminate(String name, Duration atMost) throws InterruptedException {
        Process process = running.remove(name);
        process.destroy();
        boolean ended = process.waitFor(atMost.toMillis(), TimeUnit.MILLISECONDS);
        if (!ended) {
            process.destroyForcibly();
        }
        return ended;
    }

    /** Sends a signal such as {@code STOP} or {@code CONT}. */
    public void signal(String name, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(pid(name)))
                .start()
                .waitFor();
    }

    private void killAll() {
        for (Process process : running.values()) {
            process.destroyForcibly();
        }
    }

    @Override
    public void close() {
        killAll();
        for (Process process : running.values()) {
            try {
                process.waitFor(STOP_TIME.toMillis(), TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        running.clear();
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // The process is ending, so the hook runs anyway.
            hook.setName("stop-processes-late");
        }
    }
}
