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

/**
 * Draws the gap between the least and the most served account over time.
 *
 * <p>Stateless and thread-safe.
 */
final class GapPlot {

  private static final int WIDTH = 800;
  private static final int HEIGHT = 400;

  private GapPlot() {}

  /**
   * Writes the plot as a PNG file.
   *
   * @param mode sharing mode, for the title
   * @param spreadOverTime points of time in seconds and gap in tokens
   */
  static void write(Path file, String mode, List<double[]> spreadOverTime) {
    XYSeries series = new XYSeries("gap");
    spreadOverTime.forEach(point -> series.add(point[0], point[1]));
    JFreeChart chart =
        ChartFactory.createXYLineChart(
            "Service gap, sharing mode " + mode,
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
