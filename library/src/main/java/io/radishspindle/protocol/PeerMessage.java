package io.radishspindle.protocol;

/**
 * A message between entry VMs. Implementations are immutable records in {@code io.radishspindle.protocol.message};
 * each is listed with its type code in {@link MessageTypes}.
 */
public interface PeerMessage {}
