package org.chestnutbarrow.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.chestnutbarrow.format.Json;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.category.DefaultCategoryDataset;

/** Results of one scenario as a table, as JSON and as plots. Immutable. */
record LoadReport(String name, Scenario scenario, List<TrialResult> results) {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 500;

    void write(PrintStream out, Path folder) throws IOException {
        out.print(requests());
        out.print(summary());
        out.println();
        Files.createDirectories(folder);
        String stem = name + "-seed" + scenario.seed();
        Json.MAPPER
                .writerWithDefaultPrettyPrinter()
                .writeValue(folder.resolve(stem + ".json").toFile(), results);
        System.setProperty("java.awt.headless", "true");
        plot(folder.resolve(stem + "-p99.png"), "p99 ms", true);
        plot(folder.resolve(stem + "-goodput.png"), "answers per second", false);
    }

    private Table requests() {
        Table table = new Table(
                "policy",
                "phase",
                "sent",
                "ran",
                "not-run",
                "unknown",
                "errors",
                "good/s",
                "p50 ms",
                "p99 ms",
                "p99.9 ms");
        for (TrialResult result : results) {
            for (TrialResult.PhaseResult phase : result.phases()) {
                table.row(
                        result.policy(),
                        phase.phase(),
                        phase.sent(),
                        phase.ran(),
                        phase.notRun(),
                        phase.unknown(),
                        phase.errors(),
                        one(phase.goodPerSecond()),
                        one(phase.p50()),
                        one(phase.p99()),
                        one(phase.p999()));
            }
        }
        return table;
    }

    private Table summary() {
        Table table = new Table(
                "policy",
                "batch done",
                "batch/s",
                "work s",
                "throttles",
                "evictions",
                "checkpointed",
                "over-commits",
                "dropped",
                "machine load");
        for (TrialResult result : results) {
            table.row(
                    result.policy(),
                    result.batchFinished(),
                    one(result.batchPerSecond()),
                    one(result.batchWorkMs() / 1000.0),
                    result.throttles(),
                    result.evictions(),
                    result.checkpointed(),
                    result.overCommits(),
                    result.droppedEvents(),
                    one(result.machineLoad()));
        }
        return table;
    }

    private void plot(Path file, String axis, boolean latency) throws IOException {
        DefaultCategoryDataset data = new DefaultCategoryDataset();
        for (TrialResult result : results) {
            for (TrialResult.PhaseResult phase : result.phases()) {
                data.addValue(latency ? phase.p99() : phase.goodPerSecond(), result.policy(), phase.phase());
            }
        }
        JFreeChart chart = ChartFactory.createBarChart(name + ", seed " + scenario.seed(), "phase", axis, data);
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
    }

    private static String one(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}
