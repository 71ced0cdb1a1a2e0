package io.radishspindle.protocol.message;

import io.radishspindle.protocol.PeerMessage;
import java.util.List;

/**
 * A caller's request forwarded to an entry VM that has a free slot; the reply is {@link ForwardResponse}. Immutable by
 * convention; the array is not copied.
 *
 * @param headers alternating names and values
 * @param hops how often the request has been forwarded; at most once
 * @param remainingMs time left until the caller's deadline; the receiver converts it to a deadline on its own clock
 */
public record ForwardRequest(
        String service,
        String caller,
        String requestClass,
        String method,
        String path,
        List<String> headers,
        byte[] body,
        long remainingMs,
        int hops)
        implements PeerMessage {}
