package org.chestnutbarrow.membership;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;

/**
 * What a daemon says of itself in a heartbeat.
 *
 * @param incarnation differs for every start of the daemon's process
 * @param leaving whether it is shutting down
 * @param position offset of the last log record that it has applied; -1 before any
 * @param logAge time since the send time of its own last read that returned the end of the log; empty if there was none
 *     in this incarnation
 * @param readsLog whether its last attempt to read the log succeeded
 * @param rooms workers that it holds the lease of, with what is free there
 */
public record PeerReport(
        DaemonId daemon,
        long incarnation,
        boolean leaving,
        long position,
        Optional<Duration> logAge,
        boolean readsLog,
        Map<WorkerId, Resources> rooms) {
    public PeerReport {
        Checks.require(daemon != null && logAge != null, "report needs daemon and log age");
        Checks.require(position >= -1, "position must be -1 or an offset");
        rooms = Map.copyOf(rooms);
    }
}
