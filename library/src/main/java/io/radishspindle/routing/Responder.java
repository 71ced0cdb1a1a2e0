package io.radishspindle.routing;

import io.radishspindle.error.Failure;
import io.radishspindle.platform.ExecutorClient.ServiceResponse;
import io.vertx.core.Future;

/** Where the final answer of a request goes. Each request is answered once. */
interface Responder {
    /** The future never fails; it completes when the answer is written or its recipient is gone. */
    Future<Void> answer(ServiceResponse response);

    /** The future never fails; it completes when the failure is written or its recipient is gone. */
    Future<Void> fail(Failure failure);

    /** True if nobody waits for the answer any more. */
    default boolean isGone() {
        return false;
    }
}
