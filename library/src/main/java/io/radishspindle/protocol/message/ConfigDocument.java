package io.radishspindle.protocol.message;

import io.radishspindle.protocol.PeerMessage;

/**
 * Reply to {@link ConfigPull}: a configuration as stored. Immutable by convention; the array is not copied.
 *
 * @param document the stored value; empty if the sender has no newer one
 */
public record ConfigDocument(long revision, byte[] document) implements PeerMessage {}
