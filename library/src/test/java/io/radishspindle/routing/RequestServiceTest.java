package io.radishspindle.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.routing.RoutingFixture.Answer;
import io.vertx.core.http.HttpMethod;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The request path over loopback sockets. */
class RequestServiceTest {
    @Test
    void should_pass_request_and_answer_through() {
        try (RoutingFixture fixture = new RoutingFixture()
                .executor(8, request -> request.body().onSuccess(body -> request.response()
                        .setStatusCode(201)
                        .putHeader("Order", "7")
                        .end(request.method() + " " + request.uri() + " " + body)))
                .start()) {
            // when
            Answer answer = fixture.call(HttpMethod.POST, "/services/layout/pages/1?size=a4", Map.of(), "cover");
            // then
            assertThat(answer.status()).isEqualTo(201);
            assertThat(answer.headers().get("Order")).isEqualTo("7");
            assertThat(answer.body()).hasToString("POST /pages/1?size=a4 cover");
        }
    }

    @Test
    void should_try_elsewhere_when_executor_is_busy() {
        try (RoutingFixture fixture = new RoutingFixture()
                .executor(8, request -> request.response()
                        .setStatusCode(503)
                        .putHeader("Not-Run", "true")
                        .end())
                .executor(1, request -> request.response().end("done"))
                .start()) {
            // when
            Answer answer = fixture.call(HttpMethod.POST, "/services/layout/x", Map.of(), "");
            // then
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.body()).hasToString("done");
        }
    }

    @Test
    void should_refuse_not_run_when_nothing_listens() {
        try (RoutingFixture fixture = new RoutingFixture().endpoint(8, 1)) {
            fixture.waitForSlots = false;
            fixture.start();
            // when
            Answer answer = fixture.call(HttpMethod.POST, "/services/layout/x", Map.of("Deadline-Ms", "2000"), "");
            // then
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.notRun()).isTrue();
            assertThat(answer.headers().contains("Retry-After")).isTrue();
        }
    }
}
