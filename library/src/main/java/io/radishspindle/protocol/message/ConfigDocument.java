package io.radishspindle.protocol.message;

import io.radishspindle.protocol.PeerMessage;

/**
 * A configuration as kept in the store. Immutable by convention; the array is not copied.
 *
 * @param document the stored value; empty if the sender has nothing newer
 */
public record ConfigDocument(long revision, byte[] document) implements PeerMessage {}
