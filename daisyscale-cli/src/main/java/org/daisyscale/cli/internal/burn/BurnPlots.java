package org.daisyscale.cli.internal.burn;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Date;
import java.util.List;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots burn rates as SVG. Stateless and thread-safe. */
final class BurnPlots {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 380;
    private static final double MAX_PLOTTED_RATE = 1_000;

    private BurnPlots() {}

    /** Plots the burn rates over time; returns an empty text if no interval had requests. */
    static String overTime(List<BurnTimeline> timelines) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title("Burn rate over time")
                .yAxisTitle("burn rate; 1 uses the budget up")
                .build();
        timelines.stream().filter(timeline -> !timeline.points().isEmpty()).forEach(timeline -> add(chart, timeline));
        return chart.getSeriesMap().isEmpty() ? "" : svg(chart);
    }

    /** Plots the burn rates of the known windows; returns an empty text if there are none. */
    static String overWindows(BurnReport report) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title("Burn rate over windows")
                .yAxisTitle("burn rate; 1 uses the budget up")
                .build();
        report.kinds().forEach(kind -> add(chart, kind));
        return chart.getSeriesMap().isEmpty() ? "" : svg(chart);
    }

    private static void add(XYChart chart, BurnTimeline timeline) {
        List<Date> times = timeline.points().stream()
                .map(point -> new Date(point.atEpochMillis()))
                .toList();
        List<Double> rates = timeline.points().stream()
                .map(point -> plottedRate(point.burnRate()))
                .toList();
        chart.addSeries(timeline.fullName(), times, rates).setMarker(SeriesMarkers.NONE);
    }

    private static void add(CategoryChart chart, KindBurn kind) {
        List<WindowBurn> known =
                kind.windows().stream().filter(WindowBurn::isKnown).toList();
        if (!known.isEmpty()) {
            chart.addSeries(
                    kind.fullName(),
                    known.stream().map(WindowBurn::window).toList(),
                    known.stream().map(window -> plottedRate(window.burnRate())).toList());
        }
    }

    private static double plottedRate(double burnRate) {
        return Math.min(MAX_PLOTTED_RATE, burnRate);
    }

    private static String svg(Chart<?, ?> chart) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            VectorGraphicsEncoder.saveVectorGraphic(chart, bytes, VectorGraphicsFormat.SVG);
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
        String document = bytes.toString(StandardCharsets.UTF_8);
        return document.substring(document.indexOf("<svg"));
    }
}
