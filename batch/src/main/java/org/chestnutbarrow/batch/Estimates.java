package org.chestnutbarrow.batch;

import java.util.List;

/**
 * What an owner has observed and the next owner continues with. Immutable. Nothing in it permits a run to be started.
 *
 * @param sensitivities interference between images
 * @param health health of the workers that are suspected or have evidence against them
 * @param stalledRuns runs without recent progress
 */
public record Estimates(List<Sensitivity> sensitivities, List<HealthRecord> health, List<StalledRun> stalledRuns) {
    /** The estimates before the first observation. */
    public static final Estimates NONE = new Estimates(List.of(), List.of(), List.of());

    public Estimates {
        sensitivities = List.copyOf(sensitivities);
        health = List.copyOf(health);
        stalledRuns = List.copyOf(stalledRuns);
    }

    /** Returns these estimates without those on images. */
    public Estimates withoutSensitivities() {
        return new Estimates(List.of(), health, stalledRuns);
    }

    /** Returns these estimates without the runs, which change with each report. */
    public Estimates withoutStalledRuns() {
        return new Estimates(sensitivities, health, List.of());
    }
}
