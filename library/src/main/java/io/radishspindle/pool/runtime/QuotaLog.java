package io.radishspindle.pool.runtime;

import io.radishspindle.error.Failure;
import io.radishspindle.model.Resources;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.tenant.QuotaShares;
import io.radishspindle.pool.tenant.Share;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.tinylog.Logger;

/** Logs how the shares of one slice in the tenants' quotas change. Confined to one event loop. */
final class QuotaLog {
    private final String slice;
    private final BoundedLog log;
    private final Set<String> withoutQuota = new HashSet<>();
    private final Set<String> unattainable = new HashSet<>();

    QuotaLog(Clock clock, String slice) {
        this.slice = slice;
        log = new BoundedLog(clock);
    }

    /** One line for each share of the slice that a write has changed. */
    void moved(QuotaShares before, QuotaShares after) {
        SortedSet<String> tenants = new TreeSet<>(before.tenants().keySet());
        tenants.addAll(after.tenants().keySet());
        for (String tenant : tenants) {
            Share from = before.share(tenant, slice);
            Share to = after.share(tenant, slice);
            if (!from.equals(to) && log.allows("quota-share-moved")) {
                Logger.info(
                        "event=quota-share-moved tenant={} slice={} from={} to={} reason={} change={}",
                        tenant,
                        slice,
                        format(from),
                        format(to),
                        isHigher(from, to) ? "demand" : "given-back",
                        after.sequence());
            }
        }
    }

    private static String format(Share share) {
        return share.processor() + "/" + share.memory() + "/" + share.accelerators();
    }

    private static boolean isHigher(Share from, Share to) {
        return to.processor() > from.processor()
                || to.memory() > from.memory()
                || to.accelerators() > from.accelerators();
    }

    void readFailed(Failure failure) {
        if (log.allows("quota-read-failed")) {
            Logger.warn("event=quota-read-failed slice={} error=\"{}\"", slice, failure.message());
        }
    }

    void writeFailed(Failure failure) {
        if (log.allows("quota-write-failed")) {
            Logger.warn("event=quota-write-failed slice={} error=\"{}\"", slice, failure.message());
        }
    }

    /** One line for each tenant that has waiting jobs or runs but no known quota. */
    void waitingWithoutQuota(Set<String> tenants) {
        for (String tenant : tenants) {
            if (withoutQuota.add(tenant)) {
                Logger.warn("event=quota-unknown tenant={} slice={} effect=\"its jobs wait\"", tenant, slice);
            }
        }
        withoutQuota.retainAll(tenants);
    }

    /** One line for each tenant that has work which exceeds its whole quota. */
    void unattainable(Map<String, Resources> units) {
        units.forEach((tenant, unit) -> {
            if (unattainable.add(tenant)) {
                Logger.warn(
                        "event=quota-unattainable tenant={} slice={} cores={} memory-mib={} accelerators={}",
                        tenant,
                        slice,
                        unit.milliCores() / 1_000.0,
                        unit.memoryMib(),
                        unit.accelerators());
            }
        });
    }

    void removed() {
        Logger.warn("event=quota-shares-removed slice={}", slice);
    }
}
