package org.arbutusstack.bench.report;

import java.util.List;

/**
 * One line of a plot.
 *
 * @param name the name of the line in the legend
 * @param points the points, in order of their position
 */
public record Series(String name, List<Point> points) {

    /** Create a line from a copy of the points. */
    public Series {
        points = List.copyOf(points);
    }

    /**
     * One point with the spread of its value.
     *
     * @param position the position on the horizontal axis
     * @param value the median of the values
     * @param least the smallest value
     * @param most the largest value
     */
    public record Point(double position, double value, double least, double most) {

        /**
         * Create a point of one value.
         *
         * @param position the position on the horizontal axis
         * @param value the value
         * @return the point
         */
        public static Point of(double position, double value) {
            return new Point(position, value, value, value);
        }

        /**
         * Create a point of several values.
         *
         * @param position the position on the horizontal axis
         * @param values the values, at least one
         * @return the point at the median of the values
         */
        public static Point of(double position, List<Double> values) {
            List<Double> sorted = values.stream().sorted().toList();
            double median = (sorted.get((sorted.size() - 1) / 2) + sorted.get(sorted.size() / 2)) / 2;
            return new Point(position, median, sorted.get(0), sorted.get(sorted.size() - 1));
        }
    }
}
