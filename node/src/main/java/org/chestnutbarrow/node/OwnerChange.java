package org.chestnutbarrow.node;

import java.util.Map;
import java.util.Optional;

/**
 * The last change of the owner's record. Immutable.
 *
 * @param current the newest record
 * @param replaced the record directly before; empty if it is not known
 */
record OwnerChange(Optional<OwnerRecord> current, Optional<OwnerRecord> replaced) {
    static final OwnerChange NONE = new OwnerChange(Optional.empty(), Optional.empty());

    OwnerChange to(Optional<OwnerRecord> next) {
        return next.equals(current) ? this : new OwnerChange(next, current);
    }

    /** Forgets the record that was replaced, because others may have been stored in between. */
    OwnerChange withoutReplaced() {
        return new OwnerChange(current, Optional.empty());
    }

    /** Notes a record that cannot be read; its owner may have extended leases since the newest readable one. */
    OwnerChange toUnreadable() {
        return new OwnerChange(current.map(owner -> owner.closed(Map.of())), Optional.empty());
    }
}
