package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.Account;
import org.chestnutbarrow.batch.Queue;

/**
 * The client accounts of a deployment and the queues that need none. Immutable.
 *
 * <p>Invariant: while keys are required, a queue that is not public is granted only to a key that was in force at most
 * the maximum age of the keys ago.
 *
 * @param keysRequired whether callers need an API key for queues that are not public
 * @param accounts accounts by name
 * @param accountsByKey name of the account of each API key
 * @param publicQueues keys of the queues that need no API key, see {@link Queue#key}
 */
public record AccessControl(
        boolean keysRequired,
        Map<String, Account> accounts,
        Map<KeyDigest, String> accountsByKey,
        Set<String> publicQueues) {
    /** A deployment without accounts, where every caller may use every queue. */
    public static final AccessControl OPEN = new AccessControl(false, Map.of(), Map.of(), Set.of());

    public AccessControl {
        accounts = Map.copyOf(accounts);
        accountsByKey = Map.copyOf(accountsByKey);
        publicQueues = Set.copyOf(publicQueues);
    }

    /**
     * Decides whether a caller may use a queue.
     *
     * @param key API key of the call
     * @param age age of this state, measured also over suspensions of the machine
     * @param maxAge age from which a withdrawn key might still be granted
     */
    Access decide(Queue queue, Optional<String> key, Duration age, Duration maxAge) {
        if (!keysRequired || publicQueues.contains(queue.key())) {
            return new Access.Granted("");
        }
        if (age.compareTo(maxAge) >= 0) {
            return new Access.KeysOutdated(age);
        }
        String account = key.map(KeyDigest::of).map(accountsByKey::get).orElse(null);
        return account == null ? new Access.UnknownKey() : new Access.Granted(account);
    }
}
