package org.chestnutbarrow.logging;

import java.util.logging.LogManager;

/**
 * Keeps the handlers until the daemon itself closes them. The JDK's log manager resets all handlers in a shutdown hook of
 * its own, which runs at the same time as the daemon's, so the lines of an orderly shutdown would be lost. Public because
 * the JDK creates it by its name. Safe for use by several threads.
 */
public final class KeepingLogManager extends LogManager {
    private volatile boolean kept;

    /** Created by the JDK. */
    public KeepingLogManager() {}

    /** Lets {@link #reset()} have no effect from now on. */
    void keep() {
        kept = true;
    }

    @Override
    public void reset() {
        if (!kept) {
            super.reset();
        }
    }
}
