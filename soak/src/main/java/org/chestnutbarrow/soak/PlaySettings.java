package org.chestnutbarrow.soak;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;
import org.chestnutbarrow.model.Checks;

/**
 * Settings of one play.
 *
 * @param seed source of all random choices
 * @param nodes number of nodes
 * @param workers number of workers
 * @param load how long jobs are submitted and faults begin
 * @param calm longest time without faults after the load, in which the accepted jobs have to end
 * @param families the faults to inject
 * @param crowds whether misbehaving clients take part
 * @param repeats whether clients repeat submissions and cancel jobs around their ends
 * @param images whether some jobs serve and others fill the rest, each of them with an image of its own
 * @param root folder of the sources, with the deployment file
 */
record PlaySettings(
        long seed,
        int nodes,
        int workers,
        Duration load,
        Duration calm,
        Set<Fault.Family> families,
        boolean crowds,
        boolean repeats,
        boolean images,
        Path root) {
    PlaySettings {
        Checks.require(
                nodes > 0 && nodes <= OwnerGroup.PARTITIONS_PER_TOPIC,
                "from 1 to " + OwnerGroup.PARTITIONS_PER_TOPIC + " nodes");
        Checks.require(workers > 0, "at least one worker");
        families = Set.copyOf(families);
    }
}
