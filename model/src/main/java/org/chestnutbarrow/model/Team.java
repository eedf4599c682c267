package org.chestnutbarrow.model;

/**
 * A team and the most that its tasks may use together.
 *
 * @param name unique name
 * @param quota upper bound of the sum of its running tasks' demands
 */
public record Team(String name, Resources quota) {
    public Team {
        Checks.identifier("team name", name);
        Checks.require(quota != null, "team " + name + " needs a quota");
    }
}
