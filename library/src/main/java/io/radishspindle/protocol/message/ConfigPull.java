package io.radishspindle.protocol.message;

import io.radishspindle.protocol.PeerMessage;

/** Requests a configuration newer than {@code haveRevision}. Immutable and thread-safe. */
public record ConfigPull(long haveRevision) implements PeerMessage {}
