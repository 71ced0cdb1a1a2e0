package io.radishspindle.protocol.message;

import io.radishspindle.protocol.PeerMessage;
import java.util.List;

/** Reply to a {@link ForwardRequest}: the response for the caller. Immutable by convention; the array is not copied. */
public record ForwardResponse(int status, List<String> headers, byte[] body) implements PeerMessage {}
