package org.chestnutbarrow.configcheck;

import java.util.Map;
import org.chestnutbarrow.configcheck.Configuration.Limit;

/**
 * Limits that nodes apply whatever the configuration says. Immutable.
 *
 * @param applied limits on the requests of callers
 * @param jobBytes size of the largest job that nodes store
 */
public record NodeLimits(Map<Limit, Long> applied, long jobBytes) {
    public NodeLimits {
        applied = Map.copyOf(applied);
    }
}
