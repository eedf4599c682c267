package org.chestnutbarrow.model;

/**
 * A team and its resource quota.
 *
 * @param name unique name
 * @param quota upper bound on the total demand of its running tasks
 */
public record Team(String name, Resources quota) {
    public Team {
        Checks.identifier("team name", name);
        Checks.require(quota != null, "team " + name + " needs a quota");
    }
}
