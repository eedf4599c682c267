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
 * @param id the daemon's name, unique among all daemons
 * @param zone availability zone that it stands in
 * @param http address at which callers and operators are served
 * @param peer address at which other daemons are accepted
 * @param peerKey secret that all daemons share
 * @param peers peer addresses of all other configured daemons
 * @param log address of the platform's log
 * @param hostList address of the platform's host list
 * @param logRetention how long the platform's log keeps a record
 * @param logLevel least severe level that is written
 * @param logFile file that log lines are appended to; empty for standard error
 * @param limits bounds that protect the daemon
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

    /** The same without the secret, for log lines. */
    @Override
    public String toString() {
        return "DaemonSettings[id=" + id + ", zone=" + zone + ", http=" + http + ", peer=" + peer + ", peers=" + peers
                + ", log=" + log + ", hostList=" + hostList + ", logRetention=" + logRetention + ", logLevel="
                + logLevel + ", logFile=" + logFile
                + ", limits=" + limits + "]";
    }

    /**
     * Bounds that protect the daemon from large, slow or many callers.
     *
     * @param connections most open connections from callers
     * @param headerBytes most bytes of request line and header fields
     * @param bodyBytes most bytes of a request's body
     * @param queuedRequests most interactive requests that wait for a worker
     * @param receive longest time from the first byte of a request to its last
     * @param idle longest time that a connection may wait between requests
     */
    public record Limits(
            int connections, int headerBytes, int bodyBytes, int queuedRequests, Duration receive, Duration idle) {
        /** Bounds that suit a small entry host. */
        public static final Limits DEFAULT =
                new Limits(4096, 16 * 1024, 1024 * 1024, 10_000, Duration.ofSeconds(10), Duration.ofMinutes(1));
    }
}
