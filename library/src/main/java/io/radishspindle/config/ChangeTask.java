package io.radishspindle.config;

import io.radishspindle.config.ConfigAction.ChangeEnded;
import io.radishspindle.config.ConfigAction.Put;
import io.radishspindle.config.ConfigAction.Read;
import io.radishspindle.config.ConfigAction.StoreWentBack;
import io.radishspindle.config.ConfigEvent.ChangeRequested;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Store;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * One change on its way into the store. Deterministic; not thread-safe.
 *
 * <p>Invariant: the operator is told "applied" or "not applied" only when this is certain. A write whose answer was
 * lost may still arrive at the store later, even after a read has shown the old version. Therefore the same write is
 * repeated: either the repetition succeeds, or the version has moved on and no late copy can be applied any more.
 */
final class ChangeTask {
    static final long DEADLINE_MS = 10_000;
    private static final long RETRY_MS = 250;
    private static final String STEP = "config.change";

    private enum State {
        READING,
        WRITING_AUDIT,
        WAITING_TO_RESTART,
        WRITING,
        WAITING_TO_REPEAT,
        VERIFYING,
        WAITING_TO_VERIFY,
        ENDED
    }

    private final ChangeRequested request;
    private final String vmId;
    private final LongSupplier ids;
    private final LongSupplier knownRevision;
    private final Mechanisms mechanisms;
    private final long deadlineAtMs;
    private final List<ConfigAction> actions = new ArrayList<>();
    private State state = State.READING;
    private long awaitedId;
    private long nextAttemptAtMs;
    private long expectedVersion;
    private long knownWhenRead;
    private boolean uncertain;
    private @Nullable Versioned result;
    private @Nullable Versioned latest;

    /**
     * @param ids gives ids for calls to the store
     * @param knownRevision gives the revision in force at this VM
     */
    ChangeTask(
            long nowMs,
            ChangeRequested request,
            String vmId,
            LongSupplier ids,
            LongSupplier knownRevision,
            Mechanisms mechanisms) {
        this.request = request;
        this.vmId = vmId;
        this.ids = ids;
        this.knownRevision = knownRevision;
        this.mechanisms = mechanisms;
        deadlineAtMs = nowMs + DEADLINE_MS;
        read(State.READING);
    }

    /** Takes what has to be done since the last call. */
    List<ConfigAction> drain() {
        List<ConfigAction> drained = List.copyOf(actions);
        actions.clear();
        return drained;
    }

    boolean isEnded() {
        return state == State.ENDED;
    }

    boolean awaits(long id) {
        return state != State.ENDED && awaitedId == id;
    }

    /** Newest document that this change has seen in the store or written to it. */
    Optional<Versioned> latest() {
        return Optional.ofNullable(latest);
    }

    private void read(State next) {
        state = next;
        awaitedId = ids.getAsLong();
        knownWhenRead = knownRevision.getAsLong();
        actions.add(new Read(awaitedId, ConfigCore.KEY));
    }

    /** An answer that is older than what was known when it was asked for means that the store has lost changes. */
    void onRead(long nowMs, Either<Failure, Store.Entry> answer) {
        if (answer.isLeft()) {
            onReadFailure(nowMs, answer.getLeft());
            return;
        }
        Optional<Versioned> read = Versioned.of(answer.get());
        if (read.isEmpty()) {
            end(Failure.rejected(ErrorCode.INTERNAL, STEP, "the document in the store can't be read"));
        } else if (read.get().revision() < knownWhenRead) {
            storeWentBack(read.get().revision(), knownWhenRead);
        } else if (state == State.VERIFYING) {
            verify(read.get());
        } else {
            prepare(read.get(), answer.get().version());
        }
    }

    private void onReadFailure(long nowMs, Failure failure) {
        if (state == State.VERIFYING) {
            state = State.WAITING_TO_VERIFY;
            nextAttemptAtMs = nowMs + RETRY_MS;
        } else {
            end(unavailable(failure));
        }
    }

    private void storeWentBack(long storeRevision, long known) {
        actions.add(new StoreWentBack(storeRevision, known));
        String message = "the store holds revision " + storeRevision + ", but revision " + known
                + " was in force; the store has lost changes";
        end(
                uncertain
                        ? Failure.outcomeUnknown(STEP, "store", message)
                        : Failure.rejected(ErrorCode.CONFLICT, STEP, message));
    }

    private void verify(Versioned read) {
        latest = read;
        if (read.config().contains(request.changeId())) {
            actions.add(new ChangeEnded(request.changeNumber(), Either.right(read.config())));
            state = State.ENDED;
        } else {
            end(ChangeRules.conflict(read.config(), request.change().basedOn()));
        }
    }

    private void prepare(Versioned read, long version) {
        latest = read;
        expectedVersion = version;
        ChangeRules.Origin origin = new ChangeRules.Origin(request.changeId(), request.wallMs(), vmId);
        Either<Failure, FleetConfig> next = ChangeRules.apply(read.config(), request.change(), origin);
        if (next.isLeft()) {
            end(next.getLeft());
            return;
        }
        Optional<AuditBlocks.Overflow> overflow = AuditBlocks.overflow(next.get());
        result = Versioned.of(overflow.map(AuditBlocks.Overflow::rest).orElseGet(next::get));
        if (overflow.isPresent()) {
            state = State.WRITING_AUDIT;
            awaitedId = ids.getAsLong();
            actions.add(new Put(awaitedId, overflow.get().key(), overflow.get().block(), Store.ABSENT));
        } else {
            write();
        }
    }

    private void write() {
        Versioned next = result;
        if (next == null) {
            throw new IllegalStateException("no document to write");
        }
        state = State.WRITING;
        awaitedId = ids.getAsLong();
        actions.add(new Put(awaitedId, ConfigCore.KEY, next.document(), expectedVersion));
    }

    void onPut(long nowMs, Either<Failure, Long> answer) {
        boolean conflict = answer.isLeft() && answer.getLeft().code() == ErrorCode.CONFLICT;
        if (state == State.WRITING_AUDIT) {
            onAuditWritten(nowMs, answer, conflict);
        } else if (answer.isRight()) {
            succeed();
        } else if (conflict) {
            read(State.VERIFYING);
        } else {
            onWriteFailure(nowMs, answer.getLeft());
        }
    }

    /** A block that another VM has written holds the same entries; so does one whose answer was lost. */
    private void onAuditWritten(long nowMs, Either<Failure, Long> answer, boolean conflict) {
        if (answer.isRight() || conflict) {
            write();
        } else if (answer.getLeft().notRun()) {
            end(unavailable(answer.getLeft()));
        } else {
            state = State.WAITING_TO_RESTART;
            nextAttemptAtMs = nowMs + RETRY_MS;
        }
    }

    private void onWriteFailure(long nowMs, Failure failure) {
        uncertain |= !failure.notRun();
        if (!uncertain || !mechanisms.resolvesLostAnswers()) {
            end(unavailable(failure));
            return;
        }
        state = State.WAITING_TO_REPEAT;
        nextAttemptAtMs = nowMs + RETRY_MS;
    }

    private void succeed() {
        Versioned written = result;
        if (written == null) {
            throw new IllegalStateException("no document was written");
        }
        latest = written;
        actions.add(new ChangeEnded(request.changeNumber(), Either.right(written.config())));
        state = State.ENDED;
    }

    void onTick(long nowMs) {
        if (state == State.ENDED) {
            return;
        }
        if (nowMs >= deadlineAtMs) {
            expire();
        } else if (state == State.WAITING_TO_REPEAT && nowMs >= nextAttemptAtMs) {
            write();
        } else if (state == State.WAITING_TO_VERIFY && nowMs >= nextAttemptAtMs) {
            read(State.VERIFYING);
        } else if (state == State.WAITING_TO_RESTART && nowMs >= nextAttemptAtMs) {
            read(State.READING);
        }
    }

    private void expire() {
        if (uncertain || state == State.WRITING) {
            end(Failure.outcomeUnknown(
                    STEP,
                    "store",
                    "the store did not answer; look for change id " + request.changeId() + " in the audit entries"));
        } else {
            String message = "the store did not answer within " + DEADLINE_MS + " ms; nothing was changed";
            end(Failure.retryable(ErrorCode.STORE_UNAVAILABLE, STEP, "store", message, RETRY_MS));
        }
    }

    private static Failure unavailable(Failure cause) {
        String message = "nothing was changed: " + cause.message();
        return Failure.retryable(
                ErrorCode.STORE_UNAVAILABLE, STEP, cause.peer(), message, Math.max(RETRY_MS, cause.retryAfterMs()));
    }

    private void end(Failure failure) {
        actions.add(new ChangeEnded(request.changeNumber(), Either.left(failure)));
        state = State.ENDED;
    }
}
