package org.chestnutbarrow.batch;

/**
 * How strongly filling tasks of one image take headroom from serving tasks of another image beside them.
 *
 * @param filling image of the filling tasks
 * @param serving image of the serving tasks
 * @param weight headroom lost for each worker's worth of processor time that the filling tasks use
 * @param variance uncertainty of the weight
 */
public record Sensitivity(String filling, String serving, double weight, double variance) {}
