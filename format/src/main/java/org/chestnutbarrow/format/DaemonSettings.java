package org.chestnutbarrow.format;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.DaemonId;

/**
 * The settings of one daemon. Immutable.
 *
 * @param id unique name of the daemon
 * @param zone availability zone of the daemon
 * @param http address at which callers and operators connect
 * @param peer address at which other daemons connect
 * @param peerKey secret shared by all daemons
 * @param peers peer addresses of all other configured daemons
 * @param log address of the platform's log
 * @param hostList address of the platform's host list
 * @param logRetention time for which the platform's log retains a record
 * @param logLevel minimum level of log lines
 * @param logFile file that log lines are appended to; empty for standard error
 * @param limits limits that protect the daemon from overload
 */
public record DaemonSettings(
        DaemonId id,
        AvailabilityZone zone,
        Address http,
        Address peer,
        String peerKey,
        SortedMap<DaemonId, Address> peers,
        Address log,
        Address hostList,
        Duration logRetention,
        System.Logger.Level logLevel,
        Optional<Path> logFile,
        Limits limits) {
    public DaemonSettings {
        peers = Collections.unmodifiableSortedMap(new TreeMap<>(peers));
    }

    /** Returns the settings without the secret, for logging. */
    @Override
    public String toString() {
        return "DaemonSettings[id=" + id + ", zone=" + zone + ", http=" + http + ", peer=" + peer + ", peers=" + peers
                + ", log=" + log + ", hostList=" + hostList + ", logRetention=" + logRetention + ", logLevel="
                + logLevel + ", logFile=" + logFile
                + ", limits=" + limits + "]";
    }

    /**
     * Limits that protect the daemon from large requests, slow callers and many callers.
     *
     * @param connections maximum number of open connections from callers
     * @param headerBytes maximum size of request line and header fields
     * @param bodyBytes maximum size of a request body
     * @param queuedRequests maximum number of interactive requests that wait for a worker
     * @param receive maximum time from the first byte of a request to its last
     * @param idle maximum idle time of a connection between requests
     */
    public record Limits(
            int connections, int headerBytes, int bodyBytes, int queuedRequests, Duration receive, Duration idle) {
        /** Default limits, suitable for a small entry host. */
        public static final Limits DEFAULT =
                new Limits(4096, 16 * 1024, 1024 * 1024, 10_000, Duration.ofSeconds(10), Duration.ofMinutes(1));
    }
}
