package org.chestnutbarrow.standin;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.Resources;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.MapOptionHandler;

/** What a process does, with its options. Classes are public and have fields, as args4j needs that. */
public sealed interface Role {
    /** Starts the stand-in. */
    Started start() throws InvalidInputException;

    /**
     * A stand-in that runs.
     *
     * @param process to be closed at the end
     * @param addresses what goes into the address file
     */
    record Started(AutoCloseable process, Map<String, Object> addresses) {}

    /** The log. */
    final class LogRole implements Role {
        @Option(name = "--bind", metaVar = "IP:PORT", usage = "where to listen")
        private String bind = "127.0.0.1:0";

        @Option(name = "--max-age-s", usage = "age in seconds after which records are dropped")
        private long maxAgeS = 3600;

        @Option(name = "--max-count", usage = "most records kept")
        private int maxCount = 1_000_000;

        @Override
        public Started start() throws InvalidInputException {
            StandinLog log = StandinLog.start(
                    new StandinLog.Options(Address.parse(bind), Duration.ofSeconds(maxAgeS), maxCount));
            return new Started(log, Map.of("address", log.address().toString()));
        }
    }

    /** The host list. */
    final class HostsRole implements Role {
        @Option(name = "--bind", metaVar = "IP:PORT", usage = "where to listen")
        private String bind = "127.0.0.1:0";

        @Option(name = "--lag-ms", usage = "how far the list is behind, in milliseconds")
        private long lagMs;

        @Option(name = "--expiry-ms", usage = "time after the last registration at which a host is dropped")
        private long expiryMs = 10_000;

        @Override
        public Started start() throws InvalidInputException {
            StandinHosts hosts = StandinHosts.start(new StandinHosts.Options(
                    Address.parse(bind), Duration.ofMillis(lagMs), Duration.ofMillis(expiryMs)));
            return new Started(hosts, Map.of("address", hosts.address().toString()));
        }
    }

    /** Workers. */
    final class WorkersRole implements Role {
        @Option(name = "--bind", metaVar = "IP:PORT", usage = "where faults are switched")
        private String bind = "127.0.0.1:0";

        @Option(name = "--hosts", metaVar = "IP:PORT", usage = "host list to register with")
        private String hosts;

        @Option(name = "--prefix", usage = "start of the worker ids")
        private String prefix = "w";

        @Option(name = "--count", usage = "number of workers")
        private int count = 3;

        @Option(name = "--zones", metaVar = "A,B,..", usage = "availability zones")
        private String zones = "az1,az2,az3";

        @Option(name = "--slots", usage = "concurrent requests of each worker")
        private int slots = 8;

        @Option(name = "--connections", usage = "open connections of each worker")
        private int connections = 64;

        @Option(name = "--cores", usage = "cores of each worker")
        private int cores = 32;

        @Option(name = "--memory-mib", usage = "memory of each worker in MiB")
        private long memoryMib = 125_000;

        @Option(name = "--accelerators", usage = "accelerators of each worker")
        private int accelerators;

        @Option(
                name = "--service",
                metaVar = "CLASS=20ms",
                handler = MapOptionHandler.class,
                usage = "service time of a class; may be given several times")
        private Map<String, String> service = new LinkedHashMap<>();

        @Option(name = "--usage-lag-ms", usage = "age of usage reports in milliseconds")
        private long usageLagMs = 1000;

        @Option(name = "--seed", usage = "seed of the service times")
        private long seed = 1;

        @Override
        public Started start() throws InvalidInputException {
            Map<String, Duration> times = new LinkedHashMap<>();
            service.forEach((name, time) -> times.put(name, duration(time)));
            StandinWorkers workers = StandinWorkers.start(new StandinWorkers.Options(
                    Address.parse(bind),
                    Optional.ofNullable(hosts).map(Address::parse),
                    prefix,
                    count,
                    List.of(zones.split(",")),
                    new Resources(slots, connections, cores * 1000, memoryMib, accelerators),
                    new ServiceTimes(times, ServiceTimes.DEFAULT.otherwise()),
                    Duration.ofMillis(usageLagMs),
                    seed));
            return new Started(workers, Map.of("address", workers.address().toString(), "workers", workers.hosts()));
        }

        private static Duration duration(String text) {
            return Duration.parse("PT" + millisToSeconds(text));
        }

        /** ISO 8601 has no milliseconds, which are the usual unit here. */
        private static String millisToSeconds(String text) {
            return text.endsWith("ms") ? Double.parseDouble(text.substring(0, text.length() - 2)) / 1000 + "S" : text;
        }
    }

    /** The proxy. */
    final class ProxyRole implements Role {
        @Option(name = "--bind", metaVar = "IP:PORT", usage = "where faults are switched")
        private String bind = "127.0.0.1:0";

        @Option(
                name = "--pair",
                metaVar = "NAME=IP:PORT",
                handler = MapOptionHandler.class,
                usage = "target of a pair; may be given several times")
        private Map<String, String> pairs = new LinkedHashMap<>();

        @Override
        public Started start() throws InvalidInputException {
            FaultProxy proxy = FaultProxy.start(Address.parse(bind));
            for (Map.Entry<String, String> pair : pairs.entrySet()) {
                proxy.add(pair.getKey(), Address.parse(pair.getValue()));
            }
            return new Started(proxy, Map.of("address", proxy.address().toString(), "pairs", proxy.pairs()));
        }
    }
}
