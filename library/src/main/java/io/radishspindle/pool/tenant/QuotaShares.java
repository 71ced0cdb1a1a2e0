package io.radishspindle.pool.tenant;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.radishspindle.model.Resources;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * How the quotas of all tenants are divided among the slices of pools, as one item in the store. Immutable and
 * thread-safe.
 *
 * <p>Invariant: the shares of a tenant add up to the whole quota at most, in each dimension; checked on decoding too.
 *
 * @param sequence number of changes so far
 * @param quotas last written quota of each tenant, which stays in force for a tenant that leaves the configuration
 * @param tenants entries by tenant and slice
 */
public record QuotaShares(long sequence, Map<String, Resources> quotas, Map<String, Map<String, Entry>> tenants) {
    public static final QuotaShares EMPTY = new QuotaShares(0, Map.of(), Map.of());

    /**
     * The part of one slice in the quota of one tenant. Encoded as an array, so that new fields may be added at the end
     * only.
     *
     * @param share may be used by the owner of the slice without asking
     * @param demand use and waiting tasks, where they exceed the share
     * @param unit largest waiting task or gang, if it exceeds an equal part of the quota
     * @param unitSince number of the change that first stated {@code unit}; earlier ones are served first
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Entry(Share share, Share demand, Share unit, long unitSince) {
        static final Entry NONE = new Entry(Share.NONE, Share.NONE, Share.NONE, 0);
    }

    public QuotaShares {
        quotas = Map.copyOf(quotas);
        Map<String, Map<String, Entry>> copy = new LinkedHashMap<>();
        tenants.forEach((tenant, entries) -> copy.put(tenant, Map.copyOf(entries)));
        tenants = Map.copyOf(copy);
        tenants.forEach(QuotaShares::checkSum);
    }

    private static void checkSum(String tenant, Map<String, Entry> entries) {
        for (Dimension dimension : Dimension.values()) {
            long sum = sum(entries, dimension);
            if (sum > Share.WHOLE) {
                throw new IllegalArgumentException(
                        "shares of tenant " + tenant + " add up to " + sum + " millionths of " + dimension);
            }
        }
    }

    private static long sum(Map<String, Entry> entries, Dimension dimension) {
        return entries.values().stream()
                .mapToLong(entry -> dimension.of(entry.share()))
                .sum();
    }

    Map<String, Entry> entries(String tenant) {
        return tenants.getOrDefault(tenant, Map.of());
    }

    Entry entry(String tenant, String slice) {
        return entries(tenant).getOrDefault(slice, Entry.NONE);
    }

    /** The share of a slice in the quota of a tenant. */
    public Share share(String tenant, String slice) {
        return entry(tenant, slice).share();
    }

    /** The part of a tenant's quota that belongs to no slice, in millionths. */
    int unassigned(String tenant, Dimension dimension) {
        return (int) (Share.WHOLE - sum(entries(tenant), dimension));
    }

    /** The last written quota of a tenant; null if there is none. */
    @Nullable
    Resources quota(String tenant) {
        return quotas.get(tenant);
    }

    /** Returns these shares with other entries of one slice; {@link Entry#NONE} removes an entry. */
    QuotaShares with(String slice, Map<String, Entry> entriesByTenant, Map<String, Resources> currentQuotas) {
        Map<String, Map<String, Entry>> next = new LinkedHashMap<>(tenants);
        entriesByTenant.forEach((tenant, entry) -> {
            Map<String, Entry> entries = new LinkedHashMap<>(entries(tenant));
            if (isEmpty(entry)) {
                entries.remove(slice);
            } else {
                entries.put(slice, entry);
            }
            if (entries.isEmpty()) {
                next.remove(tenant);
            } else {
                next.put(tenant, entries);
            }
        });
        Map<String, Resources> nextQuotas = new LinkedHashMap<>(quotas);
        nextQuotas.putAll(currentQuotas);
        return new QuotaShares(sequence + 1, nextQuotas, next);
    }

    private static boolean isEmpty(Entry entry) {
        return entry.share().equals(Share.NONE)
                && entry.demand().equals(Share.NONE)
                && entry.unit().equals(Share.NONE);
    }
}
