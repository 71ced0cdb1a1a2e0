package io.radishspindle.config;

import io.radishspindle.error.Failure;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.platform.Store;
import io.radishspindle.protocol.message.ConfigDocument;
import io.vavr.control.Either;

/** What happens to the configuration at one VM. Events are immutable and thread-safe. */
sealed interface ConfigEvent {
    /** Answer to {@link ConfigAction.Read}. */
    record ReadAnswered(long id, Either<Failure, Store.Entry> answer) implements ConfigEvent {}

    /** Answer to {@link ConfigAction.Watch}. */
    record WatchAnswered(long id, Either<Failure, Store.Changes> answer) implements ConfigEvent {}

    /** Answer to {@link ConfigAction.Put}. */
    record PutAnswered(long id, Either<Failure, Long> answer) implements ConfigEvent {}

    /** Answer to {@link ConfigAction.Pull}. */
    record PullAnswered(long id, Either<Failure, ConfigDocument> answer) implements ConfigEvent {}

    /** A peer passed on a document. */
    record DocumentReceived(String fromVm, ConfigDocument document) implements ConfigEvent {}

    /** Liveness or revisions of peers changed. */
    record ViewChanged(MembershipView view) implements ConfigEvent {}

    /** An operator asks for a change. */
    record ChangeRequested(long changeNumber, String changeId, long wallMs, ConfigChange change)
            implements ConfigEvent {}

    /** Time has passed. */
    record Tick(long wallMs) implements ConfigEvent {}
}
