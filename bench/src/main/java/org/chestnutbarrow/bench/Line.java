package org.chestnutbarrow.bench;

import java.util.List;
import org.chestnutbarrow.model.Checks;

/**
 * A least-squares line through points.
 *
 * @param slope growth of y for each unit of x
 * @param intercept y at x = 0
 * @param rSquared share of the variance that the line explains; 1 if all y are equal
 * @param maxResidual largest distance of a point from the line in y
 */
record Line(double slope, double intercept, double rSquared, double maxResidual) {
    /** A point to fit. */
    record Point(double x, double y) {}

    /** Fits at least two points with different x. */
    static Line fit(List<Point> points) {
        Checks.require(points.size() >= 2, "a line needs two points");
        double meanX = points.stream().mapToDouble(Point::x).average().orElseThrow();
        double meanY = points.stream().mapToDouble(Point::y).average().orElseThrow();
        double xx = 0;
        double xy = 0;
        double yy = 0;
        for (Point point : points) {
            xx += (point.x - meanX) * (point.x - meanX);
            xy += (point.x - meanX) * (point.y - meanY);
            yy += (point.y - meanY) * (point.y - meanY);
        }
        Checks.require(xx > 0, "a line needs two different x");
        double slope = xy / xx;
        double intercept = meanY - slope * meanX;
        double largest = 0;
        double squares = 0;
        for (Point point : points) {
            double residual = Math.abs(point.y - intercept - slope * point.x);
            largest = Math.max(largest, residual);
            squares += residual * residual;
        }
        return new Line(slope, intercept, yy == 0 ? 1 : 1 - squares / yy, largest);
    }

    /** The line's y. */
    double at(double x) {
        return intercept + slope * x;
    }
}
