package io.radishspindle.protocol.message;

import io.radishspindle.protocol.PeerMessage;
import java.util.List;

/** Answer to a forwarded request. Immutable by convention; the array is not copied. */
public record ForwardResponse(int status, List<String> headers, byte[] body) implements PeerMessage {}
