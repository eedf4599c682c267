package org.chestnutbarrow.logging;

import java.util.logging.LogManager;

/**
 * A log manager whose handlers stay open until the process closes them. The default log manager removes all handlers in
 * its own shutdown hook, which runs concurrently with that of the process, so the lines of an orderly shutdown would be
 * lost. Public because the JDK instantiates it by name. Safe for use by several threads.
 */
public final class NonResettingLogManager extends LogManager {
    private volatile boolean resetDisabled;

    /** Called by the JDK. */
    public NonResettingLogManager() {}

    /** Makes {@link #reset()} a no-op from now on. */
    void disableReset() {
        resetDisabled = true;
    }

    @Override
    public void reset() {
        if (!resetDisabled) {
            super.reset();
        }
    }
}
