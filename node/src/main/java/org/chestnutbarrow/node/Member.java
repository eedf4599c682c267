package org.chestnutbarrow.node;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Comparator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A node as a member of the group. Its id carries what other members need to know of it, because the group returns
 * nothing else.
 *
 * @param node name of the node
 * @param milliCores processing capacity
 * @param since when it became this member, by its own clock
 */
record Member(String node, int milliCores, Instant since) {
    /** Members that are to take over come first: by capacity; of equal ones the one that has run for longer. */
    static final Comparator<Member> STRONGEST_FIRST = Comparator.comparingInt(Member::milliCores)
            .reversed()
            .thenComparing(Member::since)
            .thenComparing(Member::node);

    private static final Pattern ID = Pattern.compile("(.+)-(\\d{1,9})m-(\\d{1,15})");

    Member {
        // An id has milliseconds, and a member must not differ from what others read.
        since = since.truncatedTo(ChronoUnit.MILLIS);
    }

    /** Reads an id; one of another form is a member without capacity that has run for the shortest time. */
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

    /** The id under which it joins the group. */
    String id() {
        return node + "-" + milliCores + "m-" + since.toEpochMilli();
    }
}
