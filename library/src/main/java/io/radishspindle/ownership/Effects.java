package io.radishspindle.ownership;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.platform.Store;
import io.radishspindle.platform.WorkerClient;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Collects the actions of one {@link DataCentreCore} and remembers what to do with their answers. Not thread-safe.
 *
 * <p>Call numbers increase for as long as the VM has its identity, also across restarts, because the first one comes
 * from the wall clock; they serve as sequence numbers of control messages and in change ids.
 */
final class Effects {
    /** Handles the answer to a control message. */
    @FunctionalInterface
    interface ControlHandler {
        void answered(long sentAtMs, Either<Failure, WorkerClient.ControlReply> result);
    }

    private final String self;
    private final OwnershipMetrics metrics;
    private final Map<Long, Consumer<Either<Failure, Store.Entry>>> reads = new HashMap<>();
    private final Map<Long, Consumer<Either<Failure, List<Store.Entry>>>> lists = new HashMap<>();
    private final Map<Long, Consumer<Either<Failure, Long>>> writes = new HashMap<>();
    private final Map<Long, ControlHandler> controls = new HashMap<>();
    private List<OwnershipAction> actions = new ArrayList<>();
    private long lastCall;
    private long nowMs;
    private boolean storeDown;

    Effects(String self, long firstCall, OwnershipMetrics metrics) {
        this.self = self;
        this.lastCall = firstCall;
        this.metrics = metrics;
    }

    String self() {
        return self;
    }

    OwnershipMetrics metrics() {
        return metrics;
    }

    long now() {
        return nowMs;
    }

    void setNow(long now) {
        nowMs = Math.max(nowMs, now);
    }

    /** Whether the last completed call to the store failed for another reason than a conflict. */
    boolean storeDown() {
        return storeDown;
    }

    String newChangeId() {
        lastCall++;
        return self + "-" + lastCall;
    }

    long nextSequence() {
        return lastCall + 1;
    }

    void read(String key, Consumer<Either<Failure, Store.Entry>> done) {
        lastCall++;
        reads.put(lastCall, done);
        actions.add(new OwnershipAction.ReadKey(lastCall, key));
    }

    void list(String prefix, Consumer<Either<Failure, List<Store.Entry>>> done) {
        lastCall++;
        lists.put(lastCall, done);
        actions.add(new OwnershipAction.ListKeys(lastCall, prefix));
    }

    void write(String key, byte[] value, long expectedVersion, Consumer<Either<Failure, Long>> done) {
        lastCall++;
        writes.put(lastCall, done);
        metrics.storeWrite(value.length);
        actions.add(new OwnershipAction.WriteKey(lastCall, key, value, expectedVersion));
    }

    void control(
            WorkerInfo worker,
            WorkerClient.ControlRequest request,
            long notAfterMs,
            long timeoutMs,
            ControlHandler done) {
        lastCall++;
        controls.put(lastCall, done);
        metrics.controlMessage();
        actions.add(new OwnershipAction.SendControl(lastCall, worker, request, notAfterMs, timeoutMs));
    }

    void answer(long request, Either<Failure, JobStatus> result) {
        actions.add(new OwnershipAction.Answer(request, result));
    }

    void completeRead(long call, Either<Failure, Store.Entry> result) {
        noteStore(result);
        Consumer<Either<Failure, Store.Entry>> done = reads.remove(call);
        if (done != null) {
            done.accept(result);
        }
    }

    void completeList(long call, Either<Failure, List<Store.Entry>> result) {
        noteStore(result);
        Consumer<Either<Failure, List<Store.Entry>>> done = lists.remove(call);
        if (done != null) {
            done.accept(result);
        }
    }

    void completeWrite(long call, Either<Failure, Long> result) {
        noteStore(result);
        Consumer<Either<Failure, Long>> done = writes.remove(call);
        if (done != null) {
            done.accept(result);
        }
    }

    void completeControl(long call, long sentAtMs, Either<Failure, WorkerClient.ControlReply> result) {
        ControlHandler done = controls.remove(call);
        if (done != null) {
            done.answered(sentAtMs, result);
        }
    }

    List<OwnershipAction> drain() {
        List<OwnershipAction> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }

    private void noteStore(Either<Failure, ?> result) {
        storeDown = result.isLeft() && result.getLeft().code() != ErrorCode.CONFLICT;
    }
}
