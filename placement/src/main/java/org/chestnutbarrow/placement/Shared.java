package org.chestnutbarrow.placement;

import org.chestnutbarrow.model.TimeSource;

/** What all job shards of a daemon share; each part has its own lock. */
record Shared(TimeSource time, WorkerIndex index, Quotas quotas, RunTimes runTimes) {}
