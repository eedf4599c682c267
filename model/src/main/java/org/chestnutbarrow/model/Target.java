package org.chestnutbarrow.model;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;

/** What operators ask of a class of work. Immutable. */
public sealed interface Target {
    /**
     * Interactive: the given share of requests is answered within the bound.
     *
     * @param quantile share of requests, above 0 and below 1
     * @param bound longest time for that share, from arrival at a daemon to the whole answer
     */
    record TailLatency(double quantile, Duration bound) implements Target {
        public TailLatency {
            Checks.require(quantile > 0 && quantile < 1, "quantile must be above 0 and below 1");
            Checks.require(bound.isPositive(), "bound must be positive");
        }
    }

    /**
     * Batch: every job is finished by the next occurrence of this local time.
     *
     * @param time local time of day
     * @param zone time zone of that local time
     */
    record FinishBy(LocalTime time, ZoneId zone) implements Target {
        public FinishBy {
            Checks.require(time != null && zone != null, "finish-by needs a time and a time zone");
        }

        /** The first occurrence of the time that is after {@code from}. */
        public Instant after(Instant from) {
            ZonedDateTime start = from.atZone(zone);
            ZonedDateTime today = start.with(time);
            return (today.isAfter(start) ? today : today.plusDays(1)).toInstant();
        }
    }

    /** Watcher: its tasks run all the time and are replaced first. */
    record AlwaysOn() implements Target {}
}
