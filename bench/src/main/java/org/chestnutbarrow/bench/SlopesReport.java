package org.chestnutbarrow.bench;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Writes series with their lines as a table, JSON and one plot each. Used by one thread. */
final class SlopesReport {
    private static final int WIDTH = 640;
    private static final int HEIGHT = 420;

    private final Path folder;

    SlopesReport(Path folder) {
        this.folder = folder;
        System.setProperty("java.awt.headless", "true");
    }

    void write(List<Series> all, PrintStream out) throws IOException {
        Files.createDirectories(folder);
        Table table = new Table("axis", "quantity", "slope", "intercept", "R squared", "max residual");
        ArrayNode json = JsonNodeFactory.instance.arrayNode();
        for (Series series : all) {
            Line line = series.line();
            table.row(
                    series.axis(),
                    series.quantity(),
                    number(line.slope()),
                    number(line.intercept()),
                    number(line.rSquared()),
                    number(line.maxResidual()));
            json.add(json(series, line));
            plot(series, line);
        }
        out.print(table);
        Files.writeString(folder.resolve("slopes.json"), json.toPrettyString());
        out.println("written to " + folder);
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.4g", value);
    }

    private static ObjectNode json(Series series, Line line) {
        ObjectNode node = JsonNodeFactory.instance
                .objectNode()
                .put("axis", series.axis())
                .put("quantity", series.quantity())
                .put("slope", line.slope())
                .put("intercept", line.intercept())
                .put("rSquared", line.rSquared())
                .put("maxResidual", line.maxResidual());
        ArrayNode points = node.putArray("points");
        series.points().forEach(point -> points.addArray().add(point.x()).add(point.y()));
        return node;
    }

    private void plot(Series series, Line line) throws IOException {
        XYSeries points = new XYSeries("measured");
        XYSeries fitted = new XYSeries("least squares");
        for (Line.Point point : series.points()) {
            points.add(point.x(), point.y());
            fitted.add(point.x(), line.at(point.x()));
        }
        XYSeriesCollection data = new XYSeriesCollection(points);
        data.addSeries(fitted);
        JFreeChart chart = ChartFactory.createXYLineChart(null, series.axis(), series.quantity(), data);
        XYPlot plot = chart.getXYPlot();
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer();
        renderer.setSeriesLinesVisible(0, false);
        renderer.setSeriesShapesVisible(1, false);
        plot.setRenderer(renderer);
        String name = (series.axis() + "-" + series.quantity()).replaceAll("[^A-Za-z0-9]+", "-");
        try (OutputStream to = Files.newOutputStream(folder.resolve(name + ".png"))) {
            ChartUtils.writeChartAsPNG(to, chart, WIDTH, HEIGHT);
        }
    }
}
