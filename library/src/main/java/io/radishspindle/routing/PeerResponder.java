package io.radishspindle.routing;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.ExecutorClient.ServiceResponse;
import io.radishspindle.protocol.PeerMessage;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/** Passes the final answer back to the peer that forwarded the request. Thread-safe. */
final class PeerResponder implements Responder {
    private final Promise<Either<Failure, PeerMessage>> promise = Promise.promise();

    /** Completes with the answer; never fails. */
    Future<Either<Failure, PeerMessage>> answer() {
        return promise.future();
    }

    @Override
    public Future<Void> answer(ServiceResponse response) {
        if (response.body().length() > RoutingOptions.MAX_FORWARD_BODY_BYTES) {
            String message = "an answer of " + response.body().length() + " bytes can't be passed between entry VMs";
            promise.tryComplete(
                    Either.left(new Failure(ErrorCode.OUTCOME_UNKNOWN, "routing.forwarded", "", message, false, 0)));
            return Future.succeededFuture();
        }
        promise.tryComplete(Either.right(ForwardMessages.response(response)));
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> fail(Failure failure) {
        promise.tryComplete(Either.left(failure));
        return Future.succeededFuture();
    }
}
