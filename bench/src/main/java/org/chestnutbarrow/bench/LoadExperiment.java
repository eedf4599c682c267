package org.chestnutbarrow.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Runs scenarios: all policies of one after the other, with the same seed. Used by one thread. */
final class LoadExperiment {
    private static final String SUFFIX = ".jsonc";

    private final Experiment.Load options;
    private final PrintStream out;

    LoadExperiment(Experiment.Load options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    void run() throws IOException, InterruptedException {
        for (Path file : files()) {
            String name = file.getFileName().toString().replace(SUFFIX, "");
            Scenario read = Scenario.read(file);
            Scenario scenario = options.seed == 0 ? read : read.withSeed(options.seed);
            out.println(name + ", seed " + scenario.seed() + ": " + scenario.about());
            List<TrialResult> results = new ArrayList<>();
            for (Scenario.Policy policy : scenario.policies()) {
                if (options.policies.isEmpty() || options.policies.contains(policy.name())) {
                    results.add(new Trial(scenario, policy, options.declarations).run());
                }
            }
            new LoadReport(name, scenario, results).write(out, options.out);
        }
    }

    private List<Path> files() throws IOException {
        if (!options.scenarios.equals(List.of("all"))) {
            return options.scenarios.stream()
                    .map(name -> options.folder.resolve(name + SUFFIX))
                    .toList();
        }
        try (Stream<Path> files = Files.list(options.folder)) {
            return files.filter(file -> file.toString().endsWith(SUFFIX))
                    .sorted()
                    .toList();
        }
    }
}
