package org.chestnutbarrow.bench;

import java.util.List;

/**
 * One quantity over one axis.
 *
 * @param axis what was varied
 * @param quantity what was measured, with its unit
 */
record Series(String axis, String quantity, List<Line.Point> points) {
    Series {
        points = List.copyOf(points);
    }

    Line line() {
        return Line.fit(points);
    }
}
