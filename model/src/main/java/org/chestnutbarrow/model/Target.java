package org.chestnutbarrow.model;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;

/** The service-level target of a class of work. Immutable. */
public sealed interface Target {
    /**
     * Target of interactive work: the given share of requests is answered within the bound.
     *
     * @param quantile share of requests, above 0 and below 1
     * @param bound latency bound for that share, from arrival at a daemon to the end of the response
     */
    record TailLatency(double quantile, Duration bound) implements Target {
        public TailLatency {
            Checks.require(quantile > 0 && quantile < 1, "quantile must be above 0 and below 1");
            Checks.require(bound.isPositive(), "bound must be positive");
        }
    }

    /**
     * Target of batch work: every job is finished by the next occurrence of this local time.
     *
     * @param time local time of day
     * @param zone time zone of that local time
     */
    record FinishBy(LocalTime time, ZoneId zone) implements Target {
        public FinishBy {
            Checks.require(time != null && zone != null, "finish-by needs a time and a time zone");
        }

        /** Returns the first occurrence of the local time after {@code from}. */
        public Instant nextAfter(Instant from) {
            ZonedDateTime start = from.atZone(zone);
            ZonedDateTime candidate = start.with(time);
            return (candidate.isAfter(start) ? candidate : candidate.plusDays(1)).toInstant();
        }
    }

    /** Target of always-on work: its tasks run until stopped, and lost ones are replaced before any other work. */
    record AlwaysOn() implements Target {}
}
