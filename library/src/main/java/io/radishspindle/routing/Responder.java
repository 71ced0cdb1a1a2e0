package io.radishspindle.routing;

import io.radishspindle.error.Failure;
import io.radishspindle.platform.ExecutorClient.ServiceResponse;

/** Where the final answer of a request goes. Each request is answered once. */
interface Responder {
    void answer(ServiceResponse response);

    void fail(Failure failure);

    /** True if nobody waits for the answer any more. */
    default boolean isGone() {
        return false;
    }
}
