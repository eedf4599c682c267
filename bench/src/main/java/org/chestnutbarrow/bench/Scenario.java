package org.chestnutbarrow.bench;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.chestnutbarrow.format.Json;
import org.chestnutbarrow.model.Checks;

/**
 * A load under which policies are compared. Immutable.
 *
 * @param about what it shows
 * @param seed seed of stand-ins and arrivals
 * @param daemons number of daemons
 * @param workers number of workers
 * @param cores cores of each worker
 * @param serviceTime undisturbed service time of requests, for example {@code 40ms}
 * @param policies what is compared, in this order
 * @param phases loads, one after the other
 * @param steps what happens beside the requests
 */
record Scenario(
        String about,
        long seed,
        int daemons,
        int workers,
        int cores,
        String serviceTime,
        List<Policy> policies,
        List<Phase> phases,
        List<Step> steps) {
    private static final JsonMapper MAPPER = Json.MAPPER
            .rebuild()
            .disable(
                    DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES,
                    DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES,
                    DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();

    Scenario {
        Checks.require(daemons > 0 && workers > 0 && cores > 0, "daemons, workers and cores must be given");
        policies = List.copyOf(policies);
        phases = List.copyOf(phases);
        steps = steps == null ? List.of() : List.copyOf(steps);
    }

    /**
     * One of the policies that are compared.
     *
     * @param properties system properties of the daemons
     * @param withoutBatch whether batch jobs are left out
     */
    record Policy(String name, Map<String, String> properties, boolean withoutBatch) {
        Policy {
            properties = properties == null ? Map.of() : Map.copyOf(properties);
        }

        /** The properties as JVM options. */
        List<String> options() {
            return properties.entrySet().stream()
                    .map(entry -> "-D" + entry.getKey() + "=" + entry.getValue())
                    .toList();
        }
    }

    /**
     * A time with one rate of requests.
     *
     * @param perSecond mean rate of requests
     * @param entry indexes of the daemons that requests are sent to in turn; all if empty
     */
    record Phase(String name, double seconds, double perSecond, List<Integer> entry) {
        Phase {
            entry = entry == null ? List.of() : List.copyOf(entry);
        }
    }

    static Scenario read(Path file) throws IOException {
        return MAPPER.readValue(file.toFile(), Scenario.class);
    }

    Scenario withSeed(long other) {
        return new Scenario(about, other, daemons, workers, cores, serviceTime, policies, phases, steps);
    }

    /** The deployment, with zones and classes of the rental service. */
    ClusterSpec cluster() {
        ClusterSpec base = ClusterSpec.hivatal(daemons, workers);
        return new ClusterSpec(
                daemons,
                workers,
                base.zones(),
                cores,
                base.memoryMiB(),
                0,
                Map.of(Trial.INTERACTIVE, serviceTime),
                base.logMaxAgeSeconds(),
                false,
                seed);
    }
}
