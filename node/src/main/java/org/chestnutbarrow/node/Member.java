package org.chestnutbarrow.node;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Comparator;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;

/**
 * A node as a member of the group. The group returns only ids, so the id encodes what other members need to know.
 *
 * @param node name of the node
 * @param milliCores processing capacity
 * @param since when the node started, by its own clock, plus 1 ms for each time that it rejoined under another id
 * @param relay where the node passes calls on to workers; empty if it does not
 */
record Member(String node, int milliCores, Instant since, Optional<RelayEndpoint> relay) {
    /** Of an id whose format is unknown; before that of any other. */
    private static final Instant UNKNOWN_SINCE = Instant.ofEpochMilli(-1);

    private static final Pattern ID = Pattern.compile("(.+)-(\\d{1,9})m-(\\d{1,15})(?:@([^/@]+)/([^/@]+))?");

    Member {
        // An id has millisecond precision, and a member must equal the one that is parsed from its id.
        since = since.truncatedTo(ChronoUnit.MILLIS);
    }

    /** Creates a member that is no relay. */
    Member(String node, int milliCores, Instant since) {
        this(node, milliCores, since, Optional.empty());
    }

    /** Returns this node as a member under another id. */
    Member rejoined() {
        return new Member(node, milliCores, since.plusMillis(1), relay);
    }

    /**
     * Returns the order of preference for a takeover, which all members derive from the ids alone: higher capacity
     * first; of equal ones, a member on the node of the last owner comes last, because that has just offered or lost
     * the role, and before it the latest start comes first. In a rolling restart the latest start is that of a node
     * which has been restarted already.
     *
     * @param ownerNode the node of the last owner; empty if there was none
     */
    static Comparator<Member> byPreference(Optional<String> ownerNode) {
        return Comparator.comparingInt(Member::milliCores)
                .reversed()
                .thenComparing(member -> ownerNode.equals(Optional.of(member.node())))
                .thenComparing(Member::since, Comparator.reverseOrder())
                .thenComparing(Member::node);
    }

    /** Parses an id; one of an unknown format yields a member without capacity that comes last. */
    static Member parse(String id) {
        Matcher matcher = ID.matcher(id);
        if (!matcher.matches()) {
            return new Member(id, 0, UNKNOWN_SINCE);
        }
        return new Member(
                matcher.group(1),
                Integer.parseInt(matcher.group(2)),
                Instant.ofEpochMilli(Long.parseLong(matcher.group(3))),
                parseRelay(matcher.group(4), matcher.group(5)));
    }

    private static Optional<RelayEndpoint> parseRelay(String zone, String address) {
        try {
            return zone == null
                    ? Optional.empty()
                    : Optional.of(new RelayEndpoint(new AvailabilityZone(zone), Address.parse(address)));
        } catch (IllegalArgumentException e) {
            // The id of a member of another version; it is a member, but no relay.
            return Optional.empty();
        }
    }

    /** Returns the id under which the member joins the group. */
    String id() {
        String suffix = relay.map(endpoint -> "@" + endpoint.zone() + "/" + endpoint.address())
                .orElse("");
        return node + "-" + milliCores + "m-" + since.toEpochMilli() + suffix;
    }
}
