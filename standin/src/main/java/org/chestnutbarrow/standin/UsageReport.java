package org.chestnutbarrow.standin;

import java.util.List;

/** The answer to {@code GET /v1/usage}. */
record UsageReport(long asOf, List<TaskUsage> tasks, Requests requests) {
    /** Use of one running task; progress is from 0 to 1. */
    record TaskUsage(String task, String workClass, int milliCores, long memoryMiB, double progress) {}

    /** Requests at the endpoint; the latency is the service time over the last second. */
    record Requests(int inFlight, long p99Micros) {}
}
