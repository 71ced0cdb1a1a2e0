package io.radishspindle.bench;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Seeded draws from the distributions of the workload. Not thread-safe. */
final class Draw {
    private final UniformRandomProvider random;

    Draw(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    int below(int bound) {
        return random.nextInt(bound);
    }

    double uniform() {
        return random.nextDouble();
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    /** Uniform in the logarithm, from {@code low} to {@code high}. */
    double logUniform(double low, double high) {
        return low * Math.pow(high / low, random.nextDouble());
    }

    double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    /** Pareto distribution cut off at {@code high}: heavy-tailed, but with a finite mean for any shape. */
    double boundedPareto(double shape, double low, double high) {
        double ratio = Math.pow(low / high, shape);
        return low / Math.pow(1 - random.nextDouble() * (1 - ratio), 1 / shape);
    }
}
