package io.radishspindle.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/** Measured points of one quantity and the straight line through them. Not thread-safe. */
final class CapacitySeries {
    private record Point(double x, ProcessUsage.Rate rate, double storeCallsPerSecond) {}

    private final String unit;
    private final List<Point> points = new ArrayList<>();

    /** @param unit what the points are counted in, for example {@code workers} */
    CapacitySeries(String unit) {
        this.unit = unit;
    }

    void add(double x, ProcessUsage.Rate rate, double storeCallsPerSecond) {
        points.add(new Point(x, rate, storeCallsPerSecond));
    }

    void print(PrintStream out) {
        out.printf(Locale.ROOT, "%n%-10s %10s %12s %10s %14s%n", unit, "cpu %", "bytes/s", "RSS MiB", "store calls/s");
        for (Point p : points) {
            out.printf(
                    Locale.ROOT,
                    "%-10.0f %10.2f %12.0f %10.1f %14.2f%n",
                    p.x,
                    p.rate.cpuPercent(),
                    p.rate.bytesPerSecond(),
                    p.rate.residentMib(),
                    p.storeCallsPerSecond);
        }
        printFit(out, "cpu %", p -> p.rate.cpuPercent());
        printFit(out, "bytes/s", p -> p.rate.bytesPerSecond());
        printFit(out, "RSS MiB", p -> p.rate.residentMib());
        printFit(out, "store calls/s", p -> p.storeCallsPerSecond);
    }

    private void printFit(PrintStream out, String name, ToDoubleFunction<Point> value) {
        SimpleRegression fit = new SimpleRegression();
        points.forEach(p -> fit.addData(p.x, value.applyAsDouble(p)));
        out.printf(
                Locale.ROOT,
                "fit %-14s = %.4g + %.4g per %s (R2 %.3f)%n",
                name,
                fit.getIntercept(),
                fit.getSlope(),
                unit,
                fit.getRSquare());
    }
}
