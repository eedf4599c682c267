package org.chestnutbarrow.node;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Comparator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A node as a member of the group. The group returns only ids, so the id encodes what other members need to know.
 *
 * @param node name of the node
 * @param milliCores processing capacity
 * @param since when the node joined under this id, by its own clock
 */
record Member(String node, int milliCores, Instant since) {
    /** Order of preference for a takeover: higher capacity first, then the earlier start. */
    static final Comparator<Member> STRONGEST_FIRST = Comparator.comparingInt(Member::milliCores)
            .reversed()
            .thenComparing(Member::since)
            .thenComparing(Member::node);

    private static final Pattern ID = Pattern.compile("(.+)-(\\d{1,9})m-(\\d{1,15})");

    Member {
        // An id has millisecond precision, and a member must equal the one that is parsed from its id.
        since = since.truncatedTo(ChronoUnit.MILLIS);
    }

    /** Parses an id; one of an unknown format yields a member without capacity that comes last. */
    static Member parse(String id) {
        Matcher matcher = ID.matcher(id);
        if (!matcher.matches()) {
            return new Member(id, 0, Instant.MAX);
        }
        return new Member(
                matcher.group(1),
                Integer.parseInt(matcher.group(2)),
                Instant.ofEpochMilli(Long.parseLong(matcher.group(3))));
    }

    /** Returns the id under which the member joins the group. */
    String id() {
        return node + "-" + milliCores + "m-" + since.toEpochMilli();
    }
}
