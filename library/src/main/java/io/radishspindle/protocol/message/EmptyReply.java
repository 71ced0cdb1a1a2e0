package io.radishspindle.protocol.message;

import io.radishspindle.protocol.PeerMessage;

/** Empty answer. Immutable and thread-safe. */
public record EmptyReply() implements PeerMessage {}
