package io.radishspindle.protocol.message;

import io.radishspindle.protocol.PeerMessage;
import java.util.List;

/**
 * A caller's request passed on to an entry VM that has a free slot; answered by {@link ForwardResponse}. Immutable by
 * convention; the array is not copied.
 *
 * @param headers alternating names and values
 * @param hops how often the request was passed on; bounded by one
 * @param remainingMs time left until the caller's deadline; the receiver turns it into a deadline of its own clock
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
