package org.arbutusstack.bench.report;

import java.util.List;

/**
 * Holds the points of one line of a plot.
 *
 * @param name what the line shows
 * @param points the points in order
 */
public record Series(String name, List<Point> points) {

    /** Copies the points. */
    public Series {
        points = List.copyOf(points);
    }

    /**
     * Holds one point with the spread of its value.
     *
     * @param position where it is
     * @param value the median of its values
     * @param least the least of its values
     * @param most the greatest of its values
     */
    public record Point(double position, double value, double least, double most) {

        /**
         * Creates a point of one value.
         *
         * @param position where it is
         * @param value its value
         * @return the point
         */
        public static Point of(double position, double value) {
            return new Point(position, value, value, value);
        }

        /**
         * Creates the point of several values.
         *
         * @param position where it is
         * @param values the values, one at the least
         * @return the point at their median
         */
        public static Point of(double position, List<Double> values) {
            List<Double> sorted = values.stream().sorted().toList();
            double middle = (sorted.get((sorted.size() - 1) / 2) + sorted.get(sorted.size() / 2)) / 2;
            return new Point(position, middle, sorted.get(0), sorted.get(sorted.size() - 1));
        }
    }
}
