package io.radishspindle.routing;

import io.radishspindle.error.Failure;
import io.radishspindle.platform.ExecutorClient.ServiceResponse;
import io.vertx.core.Future;

/**
 * Receives the final answer of a request and passes it to the caller or peer that waits for it. Each request is
 * answered once.
 */
interface Responder {
    /** The future never fails; it completes when the answer is written or its recipient has disconnected. */
    Future<Void> answer(ServiceResponse response);

    /** The future never fails; it completes when the failure is written or its recipient has disconnected. */
    Future<Void> fail(Failure failure);

    /** True if the recipient has closed its connection. */
    default boolean isDisconnected() {
        return false;
    }
}
