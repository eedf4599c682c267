package org.chestnutbarrow.node;

import java.time.Duration;

/** Whether a caller may use a queue. Immutable. */
public sealed interface Access {
    /** The caller may use the queue in the name of an account, which is empty without accounts or on a public queue. */
    record Granted(String account) implements Access {}

    /** No account has the key, or the call has none. */
    record UnknownKey() implements Access {}

    /** The keys were read too long ago to tell which are still valid; the caller may try again elsewhere. */
    record KeysOutdated(Duration age) implements Access {}
}
