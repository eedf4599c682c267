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

/** A service to run with its command line options. Public classes with mutable fields, as args4j requires. */
public sealed interface Role {
    /** Starts the service. */
    RunningRole start() throws InvalidInputException;

    /**
     * A running service.
     *
     * @param service closed on shutdown
     * @param addresses content of the address file
     */
    record RunningRole(AutoCloseable service, Map<String, Object> addresses) {}

    /** Runs the log. */
    final class LogRole implements Role {
        @Option(name = "--bind", metaVar = "IP:PORT", usage = "listen address")
        private String bind = "127.0.0.1:0";

        @Option(name = "--max-age-s", usage = "maximum age of records in seconds")
        private long maxAgeS = 3600;

        @Option(name = "--max-count", usage = "maximum number of records")
        private int maxCount = 1_000_000;

        @Override
        public RunningRole start() throws InvalidInputException {
            StandinLog log = StandinLog.start(
                    new StandinLog.Options(Address.parse(bind), Duration.ofSeconds(maxAgeS), maxCount));
            return new RunningRole(log, Map.of("address", log.address().toString()));
        }
    }

    /** Runs the host list. */
    final class HostsRole implements Role {
        @Option(name = "--bind", metaVar = "IP:PORT", usage = "listen address")
        private String bind = "127.0.0.1:0";

        @Option(name = "--lag-ms", usage = "lag of the list in milliseconds")
        private long lagMs;

        @Option(name = "--expiry-ms", usage = "time to live of a registration in milliseconds")
        private long expiryMs = 10_000;

        @Override
        public RunningRole start() throws InvalidInputException {
            StandinHosts hosts = StandinHosts.start(new StandinHosts.Options(
                    Address.parse(bind), Duration.ofMillis(lagMs), Duration.ofMillis(expiryMs)));
            return new RunningRole(hosts, Map.of("address", hosts.address().toString()));
        }
    }

    /** Runs a group of workers. */
    final class WorkersRole implements Role {
        @Option(name = "--bind", metaVar = "IP:PORT", usage = "address of the fault injection API")
        private String bind = "127.0.0.1:0";

        @Option(name = "--hosts", metaVar = "IP:PORT", usage = "host list to register with")
        private String hosts;

        @Option(name = "--prefix", usage = "prefix of the worker ids")
        private String prefix = "w";

        @Option(name = "--count", usage = "number of workers")
        private int count = 3;

        @Option(name = "--zones", metaVar = "A,B,..", usage = "availability zones")
        private String zones = "az1,az2,az3";

        @Option(name = "--slots", usage = "maximum concurrent requests per worker")
        private int slots = 8;

        @Option(name = "--connections", usage = "maximum open connections per worker")
        private int connections = 64;

        @Option(name = "--cores", usage = "cores per worker")
        private int cores = 32;

        @Option(name = "--memory-mib", usage = "memory per worker in MiB")
        private long memoryMib = 125_000;

        @Option(name = "--accelerators", usage = "accelerators per worker")
        private int accelerators;

        @Option(
                name = "--service",
                metaVar = "CLASS=20ms",
                handler = MapOptionHandler.class,
                usage = "service time of a class; can be repeated")
        private Map<String, String> service = new LinkedHashMap<>();

        @Option(name = "--usage-lag-ms", usage = "lag of usage reports in milliseconds")
        private long usageLagMs = 1000;

        @Option(name = "--seed", usage = "random seed of the service times")
        private long seed = 1;

        @Override
        public RunningRole start() throws InvalidInputException {
            Map<String, Duration> times = new LinkedHashMap<>();
            service.forEach((workClass, time) -> times.put(workClass, duration(time)));
            StandinWorkers workers = StandinWorkers.start(new StandinWorkers.Options(
                    Address.parse(bind),
                    Optional.ofNullable(hosts).map(Address::parse),
                    prefix,
                    count,
                    List.of(zones.split(",")),
                    new Resources(slots, connections, cores * 1000, memoryMib, accelerators),
                    new ServiceTimes(times, ServiceTimes.DEFAULT.defaultTime()),
                    Duration.ofMillis(usageLagMs),
                    seed));
            return new RunningRole(
                    workers, Map.of("address", workers.address().toString(), "workers", workers.hosts()));
        }

        private static Duration duration(String text) {
            return Duration.parse("PT" + convertMilliseconds(text));
        }

        /** Converts milliseconds to seconds, since ISO 8601 durations have no millisecond unit. */
        private static String convertMilliseconds(String text) {
            return text.endsWith("ms") ? Double.parseDouble(text.substring(0, text.length() - 2)) / 1000 + "S" : text;
        }
    }

    /** Runs the fault-injecting proxy. */
    final class ProxyRole implements Role {
        @Option(name = "--bind", metaVar = "IP:PORT", usage = "address of the fault injection API")
        private String bind = "127.0.0.1:0";

        @Option(
                name = "--pair",
                metaVar = "NAME=IP:PORT",
                handler = MapOptionHandler.class,
                usage = "target of a pair; can be repeated")
        private Map<String, String> pairs = new LinkedHashMap<>();

        @Override
        public RunningRole start() throws InvalidInputException {
            FaultProxy proxy = FaultProxy.start(Address.parse(bind));
            for (Map.Entry<String, String> pair : pairs.entrySet()) {
                proxy.addPair(pair.getKey(), Address.parse(pair.getValue()));
            }
            return new RunningRole(proxy, Map.of("address", proxy.address().toString(), "pairs", proxy.pairs()));
        }
    }
}
