package org.chestnutbarrow.standin;

import java.util.List;

/** Response body of {@code GET /v1/usage}. */
record UsageReport(long asOf, List<TaskUsage> tasks, Requests requests) {
    /** Resource usage of a running task; {@code progress} ranges from 0 to 1. */
    record TaskUsage(String task, String workClass, int milliCores, long memoryMiB, double progress) {}

    /** Requests at the endpoint; {@code p99Micros} is the 99th percentile of service time over the last second. */
    record Requests(int inFlight, long p99Micros) {}
}
