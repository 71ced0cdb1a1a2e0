package io.radishspindle.pool.tenant;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.tenant.QuotaShares.Entry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides how the owner of a slice changes its shares of the tenants' quotas. A function of its arguments; stateless
 * and thread-safe.
 *
 * <p>Invariants: only entries of the own slice change; a share is never reduced below what runs; no share grows by more
 * than is unassigned.
 */
final class SharePlanner {
    /** Headroom that a share is given beyond the demand, as its inverse part, so that shares seldom move. */
    private static final int HEADROOM_DIVISOR = 2;
    /** An idle part of a share goes back only if it exceeds this part of the quota, in millionths. */
    private static final int MIN_IDLE_RETURN = Share.WHOLE / 8;
    /** A stated demand is replaced only if it differs by more than this part of itself, as its inverse. */
    private static final int DEMAND_TOLERANCE_DIVISOR = 4;

    private final QuotaShares current;
    private final String slice;
    private final Set<String> slices;
    private final boolean mayGiveBack;

    /**
     * @param slices all slices of all pools, with the own one
     * @param mayGiveBack false while runs of an earlier owner may be unknown
     */
    SharePlanner(QuotaShares current, String slice, Set<String> slices, boolean mayGiveBack) {
        this.current = current;
        this.slice = slice;
        this.slices = slices;
        this.mayGiveBack = mayGiveBack;
    }

    /** Plans for all tenants with a known quota. */
    SharePlan plan(Map<String, Resources> quotas, Map<String, SliceUse> uses) {
        Map<String, Entry> changed = new LinkedHashMap<>();
        Map<String, Share> ceilings = new HashMap<>();
        quotas.forEach((tenant, quota) -> {
            TenantPlan plan = new TenantPlan(tenant, quota, uses.getOrDefault(tenant, SliceUse.NONE));
            Entry next = plan.nextEntry();
            if (!next.equals(current.entry(tenant, slice))) {
                changed.put(tenant, next);
            }
            ceilings.put(tenant, plan.ceiling());
        });
        Optional<QuotaShares> next =
                changed.isEmpty() ? Optional.empty() : Optional.of(current.with(slice, changed, quotas));
        return new SharePlan(next, ceilings);
    }

    /** The plan for one tenant. */
    private final class TenantPlan {
        private final String tenant;
        private final Resources quota;
        private final SliceUse use;
        private final Entry own;
        private final Map<String, Entry> others = new HashMap<>();
        private final Share unit;
        private final @Nullable String unitHolder;

        TenantPlan(String tenant, Resources quota, SliceUse use) {
            this.tenant = tenant;
            this.quota = quota;
            this.use = use;
            own = current.entry(tenant, slice);
            others.putAll(current.entries(tenant));
            others.remove(slice);
            unit = statedUnit();
            unitHolder = unitHolder();
        }

        Entry nextEntry() {
            Share share = Share.of(this::nextShare);
            Share demand = Share.of(dimension -> statedDemand(dimension, dimension.of(share)));
            return new Entry(share, demand, unit, unit.equals(Share.NONE) ? 0 : ownUnitSince());
        }

        /**
         * What the share would be if nothing ran; runs above it end, and none is started in their place. All where
         * nothing is to be given back: the ceiling outlives the write of a higher share.
         */
        Share ceiling() {
            return Share.of(this::ceiling);
        }

        private int ceiling(Dimension dimension) {
            int returned = toGiveBack(dimension, 0);
            return returned == 0 ? Share.WHOLE : dimension.of(own.share()) - returned;
        }

        private int nextShare(Dimension dimension) {
            int share = dimension.of(own.share());
            if (dimension.of(quota) <= 0) {
                return share;
            }
            int need = millionths(use.need(), dimension);
            if (need > share && share < limit(dimension)) {
                int wanted = Math.max(share == 0 ? equalPart() : 0, withHeadroom(need));
                int target = Math.max(share, Math.min(wanted, limit(dimension)));
                return share + Math.min(target - share, current.unassigned(tenant, dimension));
            }
            return share - toGiveBack(dimension, millionths(use.running(), dimension));
        }

        /** The highest share that may be taken: all, or the fair part while another slice lacks some. */
        private int limit(Dimension dimension) {
            return isContended(dimension) ? entitlement(dimension) : Share.WHOLE;
        }

        private boolean isContended(Dimension dimension) {
            return others.entrySet().stream()
                    .anyMatch(other -> slices.contains(other.getKey()) && lacks(other.getValue(), dimension) > 0);
        }

        /** What goes back, but for what the runs need: idle parts, and what exceeds the fair part under contention. */
        private int toGiveBack(Dimension dimension, int running) {
            int share = dimension.of(own.share());
            if (!mayGiveBack || dimension.of(quota) <= 0 || share == 0) {
                return 0;
            }
            int need = millionths(use.need(), dimension);
            int returned = idleReturn(dimension, share);
            if (isContended(dimension)) {
                long lacking = others.entrySet().stream()
                                .filter(other -> slices.contains(other.getKey()))
                                .mapToLong(other -> lacks(other.getValue(), dimension))
                                .sum()
                        - current.unassigned(tenant, dimension);
                int kept = Math.min(need, entitlement(dimension));
                returned = Math.max(returned, (int) Math.max(0, Math.min(lacking, share - kept)));
            }
            return Math.max(0, Math.min(returned, share - running));
        }

        private int idleReturn(Dimension dimension, int share) {
            int recent = millionths(use.recentNeed(), dimension);
            if (recent == 0) {
                return share;
            }
            int kept = Math.max(withHeadroom(recent), Math.min(share, equalPart()));
            return share - kept >= MIN_IDLE_RETURN ? share - kept : 0;
        }

        private static int lacks(Entry entry, Dimension dimension) {
            return Math.max(0, dimension.of(entry.demand()) - dimension.of(entry.share()));
        }

        /**
         * The max-min fair part of this slice. The slice that has waited longest for a task or gang larger than an
         * equal part gets that first, but for the fair part of lasting tasks, which don't end to make room for it.
         */
        private int entitlement(Dimension dimension) {
            int need = millionths(use.need(), dimension);
            int fair = fairPart(need, claims(dimension, null), Share.WHOLE);
            if (slice.equals(unitHolder)) {
                return Math.max(fair, dimension.of(unit));
            }
            Entry holder = unitHolder == null ? Entry.NONE : others.getOrDefault(unitHolder, Entry.NONE);
            int rest = Share.WHOLE - dimension.of(holder.unit());
            int beside = Math.min(fair, fairPart(need, claims(dimension, unitHolder), rest));
            return Math.max(beside, Math.min(fair, millionths(use.lasting(), dimension)));
        }

        /** What the other slices have or ask for, but for one of them. */
        private List<Integer> claims(Dimension dimension, @Nullable String except) {
            List<Integer> claims = new ArrayList<>();
            others.forEach((name, entry) -> {
                if (!name.equals(except)) {
                    claims.add(Math.max(dimension.of(entry.share()), dimension.of(entry.demand())));
                }
            });
            return claims;
        }

        /** Starts anew with the next unit, so that a slice with many of them doesn't precede others for ever. */
        private long ownUnitSince() {
            boolean continued = use.sameUnit() && !own.unit().equals(Share.NONE);
            return continued ? own.unitSince() : current.sequence();
        }

        private @Nullable String unitHolder() {
            String holder = unit.equals(Share.NONE) ? null : slice;
            long since = ownUnitSince();
            for (Map.Entry<String, Entry> other : others.entrySet()) {
                Entry entry = other.getValue();
                boolean states =
                        slices.contains(other.getKey()) && !entry.unit().equals(Share.NONE);
                boolean earlier = holder == null
                        || entry.unitSince() < since
                        || (entry.unitSince() == since && other.getKey().compareTo(holder) < 0);
                if (states && earlier) {
                    holder = other.getKey();
                    since = entry.unitSince();
                }
            }
            return holder;
        }

        /** The largest waiting task or gang, if it needs more than an equal part in some dimension. */
        private Share statedUnit() {
            Share needed = Share.of(dimension -> millionths(use.unit(), dimension));
            boolean exceeds =
                    Arrays.stream(Dimension.values()).anyMatch(dimension -> dimension.of(needed) > equalPart());
            if (!exceeds) {
                return Share.NONE;
            }
            // A stated unit that is a little too large stays, so that it isn't written for each change.
            boolean isClose = Arrays.stream(Dimension.values())
                    .allMatch(dimension -> isCloseAbove(dimension.of(own.unit()), dimension.of(needed)));
            return isClose ? own.unit() : needed;
        }

        private static boolean isCloseAbove(int stated, int needed) {
            return stated >= needed && stated - needed <= stated / DEMAND_TOLERANCE_DIVISOR;
        }

        private int statedDemand(Dimension dimension, int share) {
            int need = millionths(use.need(), dimension);
            if (need <= share) {
                return 0;
            }
            int stated = dimension.of(own.demand());
            boolean isClose = stated > share && Math.abs(stated - need) <= stated / DEMAND_TOLERANCE_DIVISOR;
            return isClose ? stated : need;
        }

        private int millionths(Resources amount, Dimension dimension) {
            long whole = dimension.of(quota);
            return whole <= 0 ? 0 : Share.covering(Math.max(0, dimension.of(amount)), whole);
        }
    }

    private int equalPart() {
        return Share.WHOLE / Math.max(1, slices.size());
    }

    private static int withHeadroom(int need) {
        return Math.min(Share.WHOLE, need + need / HEADROOM_DIVISOR);
    }

    /** The part of {@code total} for a demand under max-min fairness beside {@code others}. */
    private static int fairPart(int demand, List<Integer> others, int total) {
        List<Integer> sorted = others.stream().sorted().toList();
        int rest = total;
        int claimants = sorted.size() + 1;
        for (int other : sorted) {
            if (other > rest / claimants) {
                break;
            }
            rest -= other;
            claimants--;
        }
        return Math.max(0, Math.min(demand, rest / claimants));
    }
}
