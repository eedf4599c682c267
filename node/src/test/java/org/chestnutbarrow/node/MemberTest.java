package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.testng.annotations.Test;

/** Tests the encoding of members in their ids. */
public class MemberTest {
    @Test
    public void idRoundTrip() {
        Member member = new Member("front-1-5m-7", 360, Instant.parse("2026-01-01T00:00:00.123456789Z"));
        assertEquals(Member.parse(member.id()), member);
    }

    /** Guards against an id of another version that breaks the ranking of members or comes first in it. */
    @Test
    public void idsOfUnknownFormatHaveNoCapacity() {
        Member weak = new Member("a", 1, Instant.EPOCH);
        for (String id :
                new String[] {"", "front", "front-1700000000000", "x-9999999999m-1", "x-1m-9999999999999999"}) {
            assertEquals(Member.parse(id).milliCores(), 0);
            assertTrue(Member.STRONGEST_FIRST.compare(weak, Member.parse(id)) < 0, id);
        }
    }
}
