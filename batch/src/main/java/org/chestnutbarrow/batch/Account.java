package org.chestnutbarrow.batch;

import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Resources;

/**
 * A client account: a customer that shares a deployment with others. Immutable.
 *
 * @param name name of the account
 * @param weight share of the account in relation to those of other accounts while there is not room for all
 * @param submissionsPerSecond agreed rate of submissions; 0 if none is agreed
 * @param cap resources that the tasks of the account may hold on all workers together; 0 of a kind for no limit
 */
public record Account(String name, double weight, double submissionsPerSecond, Resources cap) {
    public Account {
        Checks.require(name != null && !name.isEmpty(), "an account needs a name");
        Checks.require(
                weight >= 0 && Double.isFinite(weight), "the weight of an account must be a non-negative number");
        Checks.require(
                submissionsPerSecond >= 0 && Double.isFinite(submissionsPerSecond),
                "the rate of an account must be a non-negative number");
        Checks.require(cap != null, "an account needs a cap, which may be 0 of each kind");
    }

    /** Returns whether the cap permits this usage. */
    public boolean permits(Resources usage) {
        return isWithin(usage.milliCores(), cap.milliCores())
                && isWithin(usage.memoryMiB(), cap.memoryMiB())
                && isWithin(usage.accelerators(), cap.accelerators());
    }

    private static boolean isWithin(long usage, long limit) {
        return limit == 0 || usage <= limit;
    }
}
