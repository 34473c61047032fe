package org.arbutusstack.bench.report;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Line plot over two axes that begin at zero, with a bar for the spread of each point.
 *
 * @param title the title
 * @param horizontal the label of the horizontal axis, with its unit
 * @param vertical the label of the vertical axis, with its unit
 * @param lines the lines
 */
public record SvgPlot(String title, String horizontal, String vertical, List<Series> lines) {

    private static final int WIDTH = 760;

    private static final int HEIGHT = 420;

    private static final int LEFT = 80;

    private static final int RIGHT = 560;

    private static final int TOP = 40;

    private static final int BOTTOM = 360;

    private static final int TICKS = 5;

    private static final int LEGEND_STEP = 18;

    private static final List<String> COLOURS =
            List.of("#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b", "#17becf", "#7f7f7f");

    /** Create a plot from a copy of the lines. */
    public SvgPlot {
        lines = List.copyOf(lines);
    }

    /**
     * Draw the plot.
     *
     * @return the text of an SVG file
     */
    public String svg() {
        double maxX = maxOf(Series.Point::position);
        double maxY = maxOf(Series.Point::most);
        StringBuilder svg = new StringBuilder();
        svg.append(format(
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\""
                        + " font-size=\"12\">%n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                WIDTH, HEIGHT));
        drawText(svg, LEFT, TOP - 16, "start", title);
        drawText(svg, (LEFT + RIGHT) / 2, BOTTOM + 40, "middle", horizontal);
        drawText(svg, 8, TOP - 2, "start", vertical);
        drawAxes(svg, maxX, maxY);
        for (int index = 0; index < lines.size(); index++) {
            drawLine(svg, index, maxX, maxY);
        }
        return svg.append("</svg>\n").toString();
    }

    private double maxOf(ToDoubleFunction<Series.Point> value) {
        double max = lines.stream()
                .flatMap(line -> line.points().stream())
                .mapToDouble(value)
                .max()
                .orElse(1);
        return max > 0 ? max : 1;
    }

    private static void drawAxes(StringBuilder svg, double maxX, double maxY) {
        svg.append(format("<path d=\"M%d %dV%dH%d\" fill=\"none\" stroke=\"black\"/>%n", LEFT, TOP, BOTTOM, RIGHT));
        for (int tick = 0; tick <= TICKS; tick++) {
            double share = (double) tick / TICKS;
            drawText(svg, x(share), BOTTOM + 18, "middle", formatNumber(maxX * share));
            drawText(svg, LEFT - 8, y(share) + 4, "end", formatNumber(maxY * share));
        }
    }

    private void drawLine(StringBuilder svg, int index, double maxX, double maxY) {
        String colour = COLOURS.get(index % COLOURS.size());
        StringBuilder path = new StringBuilder();
        for (Series.Point point : lines.get(index).points()) {
            double left = x(point.position() / maxX);
            path.append(format("%s%.1f %.1f", path.isEmpty() ? "M" : "L", left, y(point.value() / maxY)));
            svg.append(format(
                    "<path d=\"M%.1f %.1fV%.1f\" stroke=\"%s\" stroke-width=\"3\" stroke-opacity=\"0.4\"/>%n",
                    left, y(point.least() / maxY), y(point.most() / maxY), colour));
        }
        svg.append(format("<path d=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/>%n", path, colour));
        int legend = TOP + LEGEND_STEP * index;
        svg.append(format(
                "<rect x=\"%d\" y=\"%d\" width=\"10\" height=\"10\" fill=\"%s\"/>%n", RIGHT + 12, legend - 9, colour));
        drawText(svg, RIGHT + 26, legend, "start", lines.get(index).name());
    }

    private static double x(double share) {
        return LEFT + share * (RIGHT - LEFT);
    }

    private static double y(double share) {
        return BOTTOM - share * (BOTTOM - TOP);
    }

    private static void drawText(StringBuilder svg, double left, double baseline, String anchor, String text) {
        String escaped = text.replace("&", "&amp;").replace("<", "&lt;");
        svg.append(
                format("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>%n", left, baseline, anchor, escaped));
    }

    private static String formatNumber(double value) {
        return value >= 100 ? format("%.0f", value) : format("%.3g", value);
    }

    private static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }
}
