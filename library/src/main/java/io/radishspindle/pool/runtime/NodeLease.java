package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.TxnResult;
import io.radishspindle.pool.port.SharedStore.Write;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tinylog.Logger;

/**
 * The lease of this VM in the shared store. The VM's member entry and its claims are bound to it, so that they vanish
 * when it expires. Confined to one event loop.
 */
final class NodeLease {
    /** Time to live of the lease, in milliseconds; four renewals in a row may fail before it expires. */
    private static final long TTL_MS = 2_000;

    private static final long RENEW_INTERVAL_MS = 450;

    private final Vertx vertx;
    private final SharedStore store;
    private final NodeIdentity self;
    private long lease;
    private boolean closed;
    private boolean draining;

    NodeLease(Vertx vertx, SharedStore store, NodeIdentity self) {
        this.vertx = vertx;
        this.store = store;
        this.self = self;
    }

    /** Id of the lease; 0 if there is none. */
    long id() {
        return lease;
    }

    void start() {
        create();
    }

    /** Ends the lease, so that other VMs take over at once. */
    Future<Void> close() {
        closed = true;
        return lease == 0 ? Future.succeededFuture() : store.endLease(lease).mapEmpty();
    }

    private void create() {
        if (closed) {
            return;
        }
        store.createLease(TTL_MS).onSuccess(result -> {
            if (result.isLeft()) {
                schedule(this::create);
                return;
            }
            lease = result.get();
            register();
        });
    }

    private void register() {
        store.transact(new Txn(Map.of(), List.of(entry()), List.of())).onSuccess(this::onRegistered);
    }

    private Write entry() {
        Records.Member member = new Records.Member(
                self.host(), self.peerPort(), self.dataCentre(), self.region(), self.boot(), self.strength(), draining);
        return new Write(StoreKeys.member(self.vmId()), Records.encode(member), lease);
    }

    /**
     * Marks this VM as about to stop, so that others neither wait for it to claim a pool nor send it requests.
     *
     * @return the member entry to write, if there is a lease; later registrations carry the mark as well
     */
    Optional<Write> drain() {
        draining = true;
        return lease == 0 ? Optional.empty() : Optional.of(entry());
    }

    private void onRegistered(Either<Failure, TxnResult> result) {
        if (result.isRight()) {
            Logger.info("event=member-registered vm={} lease={}", self.vmId(), lease);
            schedule(this::renew);
        } else if (result.getLeft().code() == ErrorCode.NOT_FOUND) {
            onLost();
        } else {
            schedule(this::register);
        }
    }

    private void renew() {
        if (closed) {
            return;
        }
        store.renewLease(lease).onSuccess(result -> {
            if (result.isLeft() && result.getLeft().code() == ErrorCode.NOT_FOUND) {
                onLost();
            } else {
                schedule(this::renew);
            }
        });
    }

    private void onLost() {
        Logger.warn("event=lease-lost vm={} lease={}", self.vmId(), lease);
        lease = 0;
        create();
    }

    private void schedule(Runnable action) {
        vertx.setTimer(RENEW_INTERVAL_MS, ignored -> action.run());
    }
}
