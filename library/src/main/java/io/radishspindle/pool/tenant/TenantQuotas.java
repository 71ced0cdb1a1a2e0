package io.radishspindle.pool.tenant;

import io.radishspindle.model.Resources;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * The limits of one slice of a pool: its shares of the tenants' quotas, and what runs of each tenant. Belongs to the
 * scheduler of the slice's owner; not thread-safe.
 *
 * <p>Invariants: a start is allowed only within the usable share of the quota in the configuration in force; a tenant
 * that has left the configuration keeps its last known quota, and one whose quota was never known may start nothing.
 */
public final class TenantQuotas implements TenantLimits {
    /** A share that was not needed for this long is idle, in milliseconds. */
    static final long IDLE_MS = 5_000;

    /** The highest need of the current and of the previous period of {@link #IDLE_MS}. */
    private record Peak(Resources current, Resources previous) {
        Peak including(Resources need) {
            return new Peak(current.atLeast(need), previous);
        }

        Peak next() {
            return new Peak(Resources.NONE, current);
        }

        Resources highest() {
            return current.atLeast(previous);
        }
    }

    private final String slice;
    private final SliceShares shares;
    private final Supplier<Map<String, Resources>> configured;
    private final Map<String, Resources> lastConfigured = new HashMap<>();
    private final Map<String, Resources> running = new HashMap<>();
    private final Map<String, Peak> peaks = new HashMap<>();
    /** By tenant, the step named as its unit at the last plan. */
    private final Map<String, String> unitNames = new HashMap<>();

    /** By tenant, the first work found that exceeds its whole quota. */
    private final Map<String, Resources> unattainable = new HashMap<>();

    private Set<String> withoutQuota = Set.of();
    private Map<String, Resources> unseen = Map.of();
    private Map<String, Share> ceilings = Map.of();
    private long periodEndsMs = Long.MIN_VALUE;

    /** @param configured the quotas of the configuration in force, by tenant */
    public TenantQuotas(String slice, Supplier<Map<String, Resources>> configured) {
        this.slice = slice;
        this.configured = configured;
        shares = new SliceShares(slice);
    }

    @Override
    public boolean allows(String tenant, Resources amount) {
        Resources quota = quota(tenant);
        if (quota == null) {
            return false;
        }
        Share ceiling = ceilings.getOrDefault(tenant, Share.ALL);
        Resources limit = shares.usable(tenant).min(ceiling).amountOf(quota);
        Resources total = mayRun(tenant).plus(amount);
        // A dimension that is over its limit already doesn't hold back work that needs nothing of it.
        return Arrays.stream(Dimension.values())
                .allMatch(dimension -> dimension.of(amount) <= 0 || dimension.of(total) <= dimension.of(limit));
    }

    @Override
    public boolean isAttainable(String tenant, Resources amount) {
        Resources quota = quota(tenant);
        boolean attainable = quota != null && amount.fitsIn(Share.ALL.amountOf(quota));
        if (quota != null && !attainable) {
            unattainable.putIfAbsent(tenant, amount);
        }
        return attainable;
    }

    @Override
    public void onOccupied(String tenant, Resources amount) {
        running.merge(tenant, amount, Resources::plus);
    }

    @Override
    public void onReleased(String tenant, Resources amount) {
        running.computeIfPresent(tenant, (name, before) -> {
            Resources rest = before.minus(amount);
            return rest.equals(Resources.NONE) ? null : rest;
        });
    }

    @Override
    public void onUnseen(Map<String, Resources> byTenant) {
        unseen = Map.copyOf(byTenant);
    }

    /** What runs of a tenant on the workers of the slice, as far as it is known. */
    public Resources running(String tenant) {
        return running.getOrDefault(tenant, Resources.NONE);
    }

    /** Tenants that the last plan left out, as their quota was never known. */
    public Set<String> tenantsWithoutQuota() {
        return Set.copyOf(withoutQuota);
    }

    /** By tenant, work that exceeds the whole quota. */
    public Map<String, Resources> unattainable() {
        return Map.copyOf(unattainable);
    }

    /** Tenants with runs on the workers of the slice. */
    public Set<String> tenantsWithRuns() {
        return Set.copyOf(running.keySet());
    }

    private Resources mayRun(String tenant) {
        return running(tenant).plus(unseen.getOrDefault(tenant, Resources.NONE));
    }

    /** The quota of a tenant; null if it was never known. */
    public @Nullable Resources quota(String tenant) {
        Resources inForce = configured.get().get(tenant);
        if (inForce != null) {
            lastConfigured.put(tenant, inForce);
            return inForce;
        }
        Resources last = lastConfigured.get(tenant);
        return last == null ? shares.known().quota(tenant) : last;
    }

    /** The share of a tenant's quota that this slice may use now. */
    public Share usableShare(String tenant) {
        return shares.usable(tenant);
    }

    /** The shares that are known, and the revision of the item that holds them. */
    public QuotaShares shares() {
        return shares.known();
    }

    /** The revision of the known shares; 0 if there is no item. */
    public long revision() {
        return shares.revision();
    }

    /** Whether the shares have been read since the claim and can be changed. */
    public boolean isReady() {
        return shares.isConfirmed() && shares.isReadable();
    }

    /** Whether the shares have been read since the claim. */
    public boolean isConfirmed() {
        return shares.isConfirmed();
    }

    /** The shares of a revision were read; returns whether they are new. */
    public boolean onRead(QuotaShares read, long revision) {
        return shares.onRead(read, revision);
    }

    /** A read that began after the claim has ended, so that no earlier owner changes the shares any more. */
    public void onConfirmed() {
        shares.confirm();
    }

    /** The item of the shares can't be decoded. */
    public void onUnreadable(long revision) {
        shares.onUnreadable(revision);
    }

    /** The item of the shares was removed. */
    public void onRemoved() {
        shares.onRemoved();
    }

    /**
     * Plans the next change of the shares, and lowers the limits at once to what it plans to give back.
     *
     * @param slices all slices of all pools
     * @param demands what waits in this slice, by tenant
     * @param recovering runs of an earlier owner may be unknown, so that nothing is given back
     */
    public SharePlan plan(
            Collection<String> slices, Map<String, TenantDemand> demands, boolean recovering, long nowMs) {
        if (nowMs >= periodEndsMs) {
            periodEndsMs = nowMs + IDLE_MS;
            peaks.replaceAll((tenant, peak) -> peak.next());
        }
        Map<String, Resources> quotas = new LinkedHashMap<>();
        Map<String, SliceUse> uses = new HashMap<>();
        Set<String> unknown = new HashSet<>();
        for (String tenant : tenants(demands.keySet())) {
            Resources quota = quota(tenant);
            if (quota != null) {
                quotas.put(tenant, quota);
                uses.put(tenant, use(tenant, quota, demands.getOrDefault(tenant, TenantDemand.NONE)));
            } else {
                unknown.add(tenant);
            }
        }
        withoutQuota = unknown;
        Set<String> all = new HashSet<>(slices);
        all.add(slice);
        SharePlan plan = new SharePlanner(shares.known(), slice, all, !recovering).plan(quotas, uses);
        ceilings = plan.ceilings();
        if (plan.next().isEmpty() && shares.hasUnresolvedWrites()) {
            // Resolves an earlier write: after the next change it can't be applied any more.
            return new SharePlan(Optional.of(shares.known().with(slice, Map.of(), quotas)), ceilings);
        }
        return plan;
    }

    private Set<String> tenants(Set<String> waiting) {
        Set<String> tenants = new HashSet<>(configured.get().keySet());
        tenants.addAll(shares.known().tenants().keySet());
        tenants.addAll(running.keySet());
        tenants.addAll(waiting);
        return tenants;
    }

    private SliceUse use(String tenant, Resources quota, TenantDemand demand) {
        // A new owner doesn't know what its share was needed for, and keeps it for a period.
        Peak initialPeak = new Peak(shares.usable(tenant).amountOf(quota), Resources.NONE);
        // Runs that may be unknown have a part of the share already; they are no reason to take more.
        Resources need = running(tenant).plus(demand.waiting());
        Peak peak = peaks.getOrDefault(tenant, initialPeak).including(need);
        peaks.put(tenant, peak);
        String earlierUnit = unitNames.put(tenant, demand.unitName());
        // A new owner continues the unit that its predecessor has stated.
        boolean sameUnit = earlierUnit == null || earlierUnit.equals(demand.unitName());
        return new SliceUse(mayRun(tenant), need, peak.highest(), demand.unit(), sameUnit, demand.lasting());
    }

    /** A planned change is about to be written, conditional on the known revision. */
    public void onWriting(QuotaShares next) {
        shares.onWriting(next);
    }
}
