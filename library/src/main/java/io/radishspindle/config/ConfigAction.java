package io.radishspindle.config;

import io.radishspindle.error.Failure;
import io.radishspindle.protocol.message.ConfigDocument;
import io.vavr.control.Either;

/** What the configuration core wants done. Actions are immutable and thread-safe; ids are echoed in the answers. */
sealed interface ConfigAction {
    /** Read a key of the store. */
    record Read(long id, String key) implements ConfigAction {}

    /** Wait for a change of the document after a revision of the store. */
    record Watch(long id, String key, long afterRevision, long waitMs) implements ConfigAction {}

    /** Write a key if its version is as expected. */
    record Put(long id, String key, byte[] value, long expectedVersion) implements ConfigAction {}

    /** Ask a peer for a newer document. */
    record Pull(long id, String fromVm, long haveRevision) implements ConfigAction {}

    /** Pass a document on to a peer. */
    record Push(String toVm, ConfigDocument document) implements ConfigAction {}

    /** A change ended; its operator gets the answer. */
    record ChangeEnded(long changeNumber, Either<Failure, FleetConfig> result) implements ConfigAction {}

    /** A newer document is in force, or an exception of the current one has ended. */
    record Applied(FleetConfig config) implements ConfigAction {}

    /** The store holds an older revision than this VM; changes are refused until operators have looked at it. */
    record StoreWentBack(long storeRevision, long knownRevision) implements ConfigAction {}
}
