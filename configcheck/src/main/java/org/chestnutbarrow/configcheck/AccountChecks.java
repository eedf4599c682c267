package org.chestnutbarrow.configcheck;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chestnutbarrow.configcheck.Configuration.ClientAccount;
import org.chestnutbarrow.configcheck.Configuration.Route;
import org.chestnutbarrow.node.KeyDigest;

/** Checks the client accounts. Stateless; findings name keys by their positions only. */
final class AccountChecks {
    private record KeyPosition(ClientAccount account, int key) {}

    private AccountChecks() {}

    static void check(Configuration configuration, List<Finding> findings) {
        if (configuration.accounts().isEmpty()) {
            return;
        }
        List<ClientAccount> accounts = configuration.accounts().get();
        if (accounts.isEmpty() && !configuration.routes().stream().allMatch(Route::isPublic)) {
            findings.add(new Finding.NoCallers());
        }
        Map<String, ClientAccount> lastByName = new HashMap<>();
        Map<KeyDigest, KeyPosition> lastByKey = new HashMap<>();
        for (ClientAccount account : accounts) {
            lastByName.put(account.account().name(), account);
            for (int i = 0; i < account.keys().size(); i++) {
                lastByKey.put(account.keys().get(i), new KeyPosition(account, i));
            }
        }
        for (ClientAccount account : accounts) {
            check(account, lastByName.get(account.account().name()), lastByKey, findings);
        }
    }

    private static void check(
            ClientAccount account,
            ClientAccount lastOfName,
            Map<KeyDigest, KeyPosition> lastByKey,
            List<Finding> findings) {
        if (lastOfName.index() != account.index()) {
            findings.add(new Finding.ReplacedAccount(account, lastOfName));
        }
        if (account.keys().isEmpty()) {
            findings.add(new Finding.NoKeys(account));
        }
        for (int i = 0; i < account.keys().size(); i++) {
            KeyPosition last = lastByKey.get(account.keys().get(i));
            if (!last.account().account().name().equals(account.account().name())) {
                findings.add(new Finding.SharedKey(account, i, last.account(), last.key()));
            }
        }
        if (account.account().weight() == 0) {
            findings.add(new Finding.NoShare(account));
        }
    }
}
