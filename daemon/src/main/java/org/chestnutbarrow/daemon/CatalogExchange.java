package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.format.LogRecords;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.peer.PeerLink;
import org.chestnutbarrow.peer.PeerMessage;

/** Exchanges catalog snapshots and log positions with peers. Safe for use by several threads. */
final class CatalogExchange {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final Catalog catalog;
    private final LogRecords records;
    private final PeerLink link;
    private final Supplier<? extends Iterable<DaemonId>> peers;

    CatalogExchange(Catalog catalog, LogRecords records, PeerLink link, Supplier<? extends Iterable<DaemonId>> peers) {
        this.catalog = catalog;
        this.records = records;
        this.link = link;
        this.peers = peers;
    }

    /** Returns a snapshot of this daemon's catalog, for a peer. */
    PeerMessage snapshot() {
        LogRecord.Snapshot snapshot = records.snapshot(catalog.snapshot());
        return new PeerMessage.CatalogSnapshot(snapshot.position(), snapshot.state());
    }

    /** Returns the offset of the last log record that this daemon has applied. */
    PeerMessage position() {
        return new PeerMessage.Position(catalog.position());
    }

    /** Fetches the newest snapshot among the peers, if it is newer than this daemon's state. Blocks. */
    Optional<LogRecord.Snapshot> fetch() {
        Optional<LogRecord.Snapshot> newest = Optional.empty();
        long position = catalog.position();
        for (DaemonId peer : peers.get()) {
            Optional<LogRecord.Snapshot> snapshot = fetch(peer);
            if (snapshot.isPresent() && snapshot.get().position() > position) {
                newest = snapshot;
                position = snapshot.get().position();
            }
        }
        return newest;
    }

    private Optional<LogRecord.Snapshot> fetch(DaemonId peer) {
        try {
            PeerMessage response = link.call(peer, new PeerMessage.FetchCatalog(), TIMEOUT);
            return response instanceof PeerMessage.CatalogSnapshot(long position, byte[] state)
                    ? Optional.of(new LogRecord.Snapshot(position, state))
                    : Optional.empty();
        } catch (NotRunException | OutcomeUnknownException e) {
            return Optional.empty();
        }
    }
}
