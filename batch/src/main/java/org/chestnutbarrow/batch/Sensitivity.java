package org.chestnutbarrow.batch;

/**
 * Estimated sensitivity of latency-critical tasks of one image to best-effort tasks of another image on the same
 * worker.
 *
 * @param bestEffortImage image of the best-effort tasks
 * @param latencyCriticalImage image of the latency-critical tasks
 * @param weight headroom lost per unit of CPU use by the best-effort tasks, where 1 is the whole worker
 * @param variance variance of the weight
 */
public record Sensitivity(String bestEffortImage, String latencyCriticalImage, double weight, double variance) {}
