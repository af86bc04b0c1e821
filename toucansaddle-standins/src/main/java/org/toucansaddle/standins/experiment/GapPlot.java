package org.toucansaddle.standins.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Draws the gap between the least and most served account over time. Stateless. */
final class GapPlot {

  private static final int WIDTH = 800;
  private static final int HEIGHT = 400;

  private GapPlot() {}

  static void write(Path file, String title, List<double[]> curve) {
    XYSeries series = new XYSeries("gap");
    curve.forEach(point -> series.add(point[0], point[1]));
    JFreeChart chart =
        ChartFactory.createXYLineChart(
            "Service gap, sharing mode " + title,
            "seconds",
            "tokens",
            new XYSeriesCollection(series));
    try {
      ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
