package org.chestnutbarrow.membership;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;

/**
 * The state that a daemon reports about itself in a heartbeat.
 *
 * @param incarnation identifies the daemon's process; differs on each start
 * @param leaving whether the daemon is shutting down
 * @param position offset of the last log record that the daemon has applied; -1 if none
 * @param logAge time since the daemon sent its last read that returned the end of the log; empty if there was none in
 *     this incarnation
 * @param logReadable whether the daemon's last attempt to read the log succeeded
 * @param freeByWorker free capacity of each worker whose lease the daemon holds
 */
public record PeerReport(
        DaemonId daemon,
        long incarnation,
        boolean leaving,
        long position,
        Optional<Duration> logAge,
        boolean logReadable,
        Map<WorkerId, Resources> freeByWorker) {
    public PeerReport {
        Checks.require(daemon != null && logAge != null, "daemon and log age are required");
        Checks.require(position >= -1, "position must be at least -1");
        freeByWorker = Map.copyOf(freeByWorker);
    }
}
