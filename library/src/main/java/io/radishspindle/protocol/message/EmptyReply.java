package io.radishspindle.protocol.message;

import io.radishspindle.protocol.PeerMessage;

/** Reply without content. Immutable and thread-safe. */
public record EmptyReply() implements PeerMessage {}
