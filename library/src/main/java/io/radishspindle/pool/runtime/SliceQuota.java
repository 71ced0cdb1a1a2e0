package io.radishspindle.pool.runtime;

import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.core.PoolScheduler;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.TxnResult;
import io.radishspindle.pool.port.SharedStore.Write;
import io.radishspindle.pool.tenant.QuotaShares;
import io.radishspindle.pool.tenant.TenantQuotas;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the shares of one slice in the tenants' quotas while this VM owns the slice. Confined to one event loop.
 *
 * <p>Invariants: every write is conditional on the claim and on the revision of the shares; a lower share takes effect
 * before it is written, a higher one after the write has succeeded; no share is used before one read has been made
 * after the claim.
 */
final class SliceQuota {
    /** Shortest time between two writes, in milliseconds; bounds the load of the store. */
    private static final long WRITE_INTERVAL_MS = 200;
    /** Time between two plans, in milliseconds. */
    private static final long PLAN_INTERVAL_MS = 100;
    /** Time between two checks for jobs of tenants that the configuration doesn't have, in milliseconds. */
    private static final long TENANT_CHECK_INTERVAL_MS = 1_000;
    /** Delay before a failed call is repeated, in milliseconds. */
    private static final long RETRY_MS = 200;

    /** Receives what matters to the owner of the slice. */
    interface Listener {
        /** The shares have changed, so that more may be started. */
        void onSharesChanged();

        /** The claim of this VM has been replaced. */
        void onSuperseded(String reason);
    }

    private final Clock clock;
    private final SharedStore store;
    private final QuotaKeeper keeper;
    private final String slice;
    private final long claimRevision;
    private final Listener listener;
    private final TenantQuotas limits;
    private final QuotaLog log;
    private boolean busy;
    private boolean closed;
    private boolean mustRead;
    private long nextStepMs = Long.MIN_VALUE;
    private long nextWriteMs = Long.MIN_VALUE;
    private long nextTenantCheckMs = Long.MIN_VALUE;

    SliceQuota(
            Clock clock, SharedStore store, QuotaKeeper keeper, String slice, long claimRevision, Listener listener) {
        this.clock = clock;
        this.store = store;
        this.keeper = keeper;
        this.slice = slice;
        this.claimRevision = claimRevision;
        this.listener = listener;
        limits = new TenantQuotas(slice, keeper::quotas);
        log = new QuotaLog(clock, slice);
    }

    String slice() {
        return slice;
    }

    /** The limits for the scheduler of the slice. */
    TenantQuotas limits() {
        return limits;
    }

    void close() {
        closed = true;
        keeper.onClosed(this);
    }

    /** Plans and writes a change of the shares if one is due; called after each scheduling pass. */
    void update(PoolScheduler scheduler) {
        long nowMs = clock.nowMs();
        if (closed || busy || nowMs < nextStepMs || !hasTenants(scheduler, nowMs)) {
            return;
        }
        if (mustRead || !limits.isConfirmed()) {
            read();
            return;
        }
        nextStepMs = nowMs + PLAN_INTERVAL_MS;
        if (limits.isReady()) {
            limits.plan(
                            keeper.slices(),
                            scheduler.tenantDemands(nowMs, clock.wallMs()),
                            scheduler.mayHaveUnseenRuns(),
                            nowMs)
                    .next()
                    .filter(next -> nowMs >= nextWriteMs)
                    .ifPresent(this::write);
            log.waitingWithoutQuota(limits.tenantsWithoutQuota());
            log.unattainable(limits.unattainable());
        }
    }

    /** Whether there are quotas, or waiting jobs of tenants, whose last quotas the store may have. */
    private boolean hasTenants(PoolScheduler scheduler, long nowMs) {
        if (!keeper.quotas().isEmpty() || limits.revision() > 0) {
            return true;
        }
        if (nowMs < nextTenantCheckMs) {
            return false;
        }
        nextTenantCheckMs = nowMs + TENANT_CHECK_INTERVAL_MS;
        return !scheduler.tenantDemands(nowMs, clock.wallMs()).isEmpty();
    }

    private void read() {
        busy = true;
        store.get(StoreKeys.QUOTA_SHARES).onSuccess(this::onGot);
    }

    private void onGot(Either<Failure, Optional<Item>> result) {
        busy = false;
        if (closed) {
            return;
        }
        if (result.isLeft()) {
            log.readFailed(result.getLeft());
            nextStepMs = clock.nowMs() + RETRY_MS;
            return;
        }
        mustRead = false;
        result.get().ifPresentOrElse(keeper::onItem, this::onAbsent);
        if (!limits.isConfirmed()) {
            limits.onConfirmed();
            listener.onSharesChanged();
        }
    }

    private void write(QuotaShares next) {
        busy = true;
        nextWriteMs = clock.nowMs() + WRITE_INTERVAL_MS;
        QuotaShares before = limits.shares();
        limits.onWriting(next);
        Map<String, Long> expected =
                Map.of(StoreKeys.owner(slice), claimRevision, StoreKeys.QUOTA_SHARES, limits.revision());
        Write write = new Write(StoreKeys.QUOTA_SHARES, Records.encode(next), 0);
        store.transact(new Txn(expected, List.of(write), List.of()))
                .onSuccess(result -> onWritten(before, next, write, result));
    }

    private void onWritten(QuotaShares before, QuotaShares next, Write write, Either<Failure, TxnResult> result) {
        busy = false;
        if (closed) {
            return;
        }
        if (result.isLeft()) {
            // The limits stay at the lower of both shares until a read shows which of them is in force.
            mustRead = true;
            nextStepMs = clock.nowMs() + RETRY_MS;
            log.writeFailed(result.getLeft());
        } else if (result.get().applied()) {
            log.moved(before, next);
            keeper.onItem(new Item(write.key(), write.value(), result.get().revision()));
        } else {
            onConflict(result.get().current());
        }
    }

    private void onConflict(List<Item> current) {
        for (Item item : current) {
            if (item.key().equals(StoreKeys.QUOTA_SHARES)) {
                keeper.onItem(item);
            } else if (item.revision() != claimRevision) {
                listener.onSuperseded("write of quota shares rejected: the claim has been replaced");
                return;
            }
        }
    }

    /** The shares of a revision were read or written by this VM. */
    void onRead(QuotaShares shares, long revision) {
        if (limits.onRead(shares, revision)) {
            listener.onSharesChanged();
        }
    }

    /** The item of the shares may have been removed, or not have been written when the store was read. */
    void mustRead() {
        mustRead = true;
    }

    private void onAbsent() {
        if (limits.revision() > 0) {
            log.removed();
            limits.onRemoved();
        }
    }
}
