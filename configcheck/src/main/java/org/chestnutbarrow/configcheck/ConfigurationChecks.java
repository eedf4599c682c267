package org.chestnutbarrow.configcheck;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.chestnutbarrow.configcheck.Configuration.Limit;
import org.chestnutbarrow.configcheck.Configuration.Service;

/** Finds what is wrong in a readable configuration. Stateless; the order of the findings follows the file. */
public final class ConfigurationChecks {
    private ConfigurationChecks() {}

    /**
     * Returns the findings in a configuration.
     *
     * @param inForce version in force, if known
     */
    public static List<Finding> check(Configuration configuration, NodeLimits nodeLimits, OptionalLong inForce) {
        List<Finding> findings = new ArrayList<>();
        configuration.version().ifPresent(version -> checkVersion(version, inForce, findings));
        RouteChecks.check(configuration, findings);
        configuration.services().ifPresent(services -> checkServices(services, findings));
        checkLimits(configuration.limits(), nodeLimits, findings);
        AccountChecks.check(configuration, findings);
        return findings;
    }

    private static void checkVersion(long version, OptionalLong inForce, List<Finding> findings) {
        if (version < 0) {
            findings.add(new Finding.NegativeVersion(version));
        }
        if (inForce.isPresent() && version <= inForce.getAsLong()) {
            findings.add(new Finding.VersionNotAbove(version, inForce.getAsLong()));
        }
    }

    private static void checkServices(List<Service> services, List<Finding> findings) {
        Map<String, Service> first = new HashMap<>();
        for (Service service : services) {
            Service earlier = first.putIfAbsent(service.name(), service);
            if (earlier != null) {
                findings.add(new Finding.RepeatedService(service, earlier));
            }
        }
    }

    private static void checkLimits(Map<Limit, Long> limits, NodeLimits nodeLimits, List<Finding> findings) {
        for (Limit limit : Limit.values()) {
            Long value = limits.get(limit);
            if (value == null) {
                continue;
            }
            Long applied = nodeLimits.applied().get(limit);
            if (value <= 0) {
                findings.add(new Finding.LimitNotPositive(limit, value));
            } else if (limit == Limit.BODY_BYTES && value < nodeLimits.jobBytes()) {
                findings.add(new Finding.BodyLimitBelowJob(value, nodeLimits.jobBytes()));
            } else if (applied != null && value > applied) {
                findings.add(new Finding.LimitAboveNodes(limit, value, applied));
            }
        }
    }
}
