package org.chestnutbarrow.model;

/**
 * A class of work as operators declare it.
 *
 * @param name unique name; for interactive classes also the first segment of the request path
 * @param team team that its use is charged to
 * @param target what is asked of it
 * @param demand hint of what one task, or one request, needs
 */
public record WorkClass(String name, String team, Target target, Resources demand) {
    public WorkClass {
        Checks.identifier("class name", name);
        Checks.identifier("team name", team);
        Checks.require(target != null, "class " + name + " needs a target");
        Checks.require(demand != null, "class " + name + " needs a demand");
    }

    /** Whether its work is requests that are routed to endpoints. */
    public boolean interactive() {
        return target instanceof Target.TailLatency;
    }
}
