package io.radishspindle.routing;

import io.radishspindle.settings.EntrySettings;

/**
 * Limits of one service that operators may change at run time. Immutable and thread-safe.
 *
 * @param retryBudget retries as a share of the requests, from 0 to 1
 */
public record ServiceLimits(double retryBudget, int maxQueuedPerService, int maxQueuedPerCaller) {
    /** The limits of the settings file, in force where the fleet configuration sets no value. */
    public static ServiceLimits of(EntrySettings.Routing settings) {
        return new ServiceLimits(settings.retryBudget(), settings.maxQueuedPerService(), settings.maxQueuedPerCaller());
    }
}
