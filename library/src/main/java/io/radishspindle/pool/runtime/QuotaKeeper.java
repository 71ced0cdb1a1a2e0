package io.radishspindle.pool.runtime;

import io.radishspindle.model.Resources;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.model.PoolConfig;
import io.radishspindle.pool.port.PrefixReader;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.tenant.QuotaShares;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Passes the stored shares of the tenants' quotas to the slices that this VM owns. Confined to one event loop.
 *
 * <p>Invariant: watches the store only while this VM owns a slice and the configuration has tenants.
 */
final class QuotaKeeper {
    /** Pause between watches, in milliseconds; batches the changes of several owners into one call. */
    private static final long WATCH_PAUSE_MS = 20;

    private final Vertx vertx;
    private final Clock clock;
    private final SharedStore store;
    private final PrefixReader watched;
    private final Supplier<Optional<PoolConfig>> config;
    private final Supplier<List<String>> slices;
    private final Consumer<Boolean> onStoreResult;
    private final Map<String, SliceQuota> open = new HashMap<>();
    private @Nullable PrefixWatch watch;
    private @Nullable PoolConfig quotasOf;
    private Map<String, Resources> quotas = Map.of();

    /**
     * @param watched reads the shares of {@code store} and its changes
     * @param slices all slices of all pools
     */
    QuotaKeeper(
            Vertx vertx,
            Clock clock,
            SharedStore store,
            PrefixReader watched,
            Supplier<Optional<PoolConfig>> config,
            Supplier<List<String>> slices,
            Consumer<Boolean> onStoreResult) {
        this.vertx = vertx;
        this.clock = clock;
        this.store = store;
        this.watched = watched;
        this.config = config;
        this.slices = slices;
        this.onStoreResult = onStoreResult;
    }

    /** Creates the quotas of a slice that this VM has claimed. */
    SliceQuota open(String slice, long fencingToken, SliceQuota.Listener listener) {
        SliceQuota quota = new SliceQuota(clock, store, this, slice, fencingToken, listener);
        open.put(slice, quota);
        updateWatch();
        return quota;
    }

    void onClosed(SliceQuota quota) {
        open.remove(quota.slice(), quota);
        updateWatch();
    }

    /** Names of all slices of all pools. */
    List<String> slices() {
        return slices.get();
    }

    /** Quotas of the configuration in force, by tenant. */
    Map<String, Resources> quotas() {
        PoolConfig current = config.get().orElse(null);
        if (current != quotasOf) {
            quotasOf = current;
            quotas = current == null
                    ? Map.of()
                    : current.tenants().tenants().stream()
                            .collect(Collectors.toUnmodifiableMap(tenant -> tenant.name(), tenant -> tenant.quota()));
            updateWatch();
        }
        return quotas;
    }

    private void updateWatch() {
        PrefixWatch current = watch;
        boolean hasShares =
                open.values().stream().anyMatch(quota -> quota.limits().revision() > 0);
        boolean needed = !open.isEmpty() && (!quotas.isEmpty() || hasShares);
        if (current != null && !needed) {
            current.close();
            watch = null;
        } else if (current == null && needed) {
            watch = new PrefixWatch(
                    vertx, clock, watched, StoreKeys.QUOTA, WATCH_PAUSE_MS, new SharesListener(), onStoreResult);
            watch.start();
        }
    }

    /** Passes a read or written item to all slices of this VM. */
    void onItem(Item item) {
        byte @Nullable [] value = item.value();
        if (value == null) {
            List.copyOf(open.values()).forEach(SliceQuota::mustRead);
            return;
        }
        List<SliceQuota> outdated = open.values().stream()
                .filter(quota -> quota.limits().revision() < item.revision())
                .toList();
        if (!outdated.isEmpty()) {
            Records.decode(item.key(), value, QuotaShares.class)
                    .onSuccess(shares -> outdated.forEach(quota -> quota.onRead(shares, item.revision())))
                    .onFailure(e -> outdated.forEach(quota -> quota.limits().onUnreadable(item.revision())));
            updateWatch();
        }
    }

    /** Reacts to changes of the shares by other owners. */
    private final class SharesListener implements PrefixWatch.Listener {
        @Override
        public void onListed(List<Item> items) {
            if (items.isEmpty()) {
                open.values().stream()
                        .filter(quota -> quota.limits().revision() > 0)
                        .forEach(SliceQuota::mustRead);
            }
            items.forEach(this::onChanged);
        }

        @Override
        public void onChanged(Item item) {
            if (item.key().equals(StoreKeys.QUOTA_SHARES)) {
                onItem(item);
            }
        }
    }
}
