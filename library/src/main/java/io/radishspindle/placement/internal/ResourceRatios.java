package io.radishspindle.placement.internal;

import io.radishspindle.model.Resources;

/** Ratios between amounts of resources. Stateless. */
final class ResourceRatios {
    private ResourceRatios() {}

    /** Returns the smallest ratio of free amount to demand over all resources; at least 1 if the demand fits. */
    static double fitRatio(Resources demand, Resources free) {
        return Math.min(
                ratio(free.milliCores(), demand.milliCores()),
                Math.min(
                        ratio(free.memoryMib(), demand.memoryMib()),
                        ratio(free.accelerators(), demand.accelerators())));
    }

    private static double ratio(long free, long demand) {
        return demand <= 0 ? Double.MAX_VALUE : (double) free / demand;
    }
}
