package io.radishspindle.standin;

import io.radishspindle.platform.http.Wire;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import java.util.LinkedHashMap;
import java.util.Map;

/** An answer of a stand-in. Immutable; {@link #send} belongs to the event loop of the request. */
record Answer(int status, Map<String, String> headers, Buffer body) {

    private record ErrorBody(String error) {}

    static Answer of(int status) {
        return new Answer(status, Map.of(), Buffer.buffer());
    }

    static Answer json(int status, Object value) {
        return new Answer(status, Map.of("Content-Type", "application/json"), Wire.toJson(value));
    }

    static Answer error(int status, String message) {
        return json(status, new ErrorBody(message));
    }

    /** Tells that the request was not run or applied. */
    static Answer notRun(int status, String message) {
        return error(status, message).with(Wire.NOT_RUN, "true");
    }

    Answer with(String name, String value) {
        Map<String, String> extended = new LinkedHashMap<>(headers);
        extended.put(name, value);
        return new Answer(status, extended, body);
    }

    /** Sends the answer unless the peer has gone. */
    void send(RoutingContext context) {
        HttpServerResponse response = context.response();
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(status);
        headers.forEach(response::putHeader);
        response.end(body);
    }
}
