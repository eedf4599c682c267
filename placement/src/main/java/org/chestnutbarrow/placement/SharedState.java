package org.chestnutbarrow.placement;

import org.chestnutbarrow.model.TimeSource;

/** State shared by all job shards of a daemon; each component is safe for use by several threads. */
record SharedState(TimeSource time, WorkerIndex index, Quotas quotas, RunTimeEstimates runTimes) {}
