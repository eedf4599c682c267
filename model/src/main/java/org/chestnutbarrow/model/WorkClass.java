package org.chestnutbarrow.model;

/**
 * A class of work as declared by operators.
 *
 * @param name unique name; for interactive classes also the first segment of the request path
 * @param team team whose quota its resources count against
 * @param target service-level target
 * @param demand estimated resources of one task or one request
 */
public record WorkClass(String name, String team, Target target, Resources demand) {
    public WorkClass {
        Checks.identifier("class name", name);
        Checks.identifier("team name", team);
        Checks.require(target != null, "class " + name + " needs a target");
        Checks.require(demand != null, "class " + name + " needs a demand");
    }

    /** Returns whether its work consists of requests that are routed to endpoints. */
    public boolean interactive() {
        return target instanceof Target.TailLatency;
    }
}
