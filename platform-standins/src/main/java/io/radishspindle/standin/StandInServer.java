package io.radishspindle.standin;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.function.Consumer;

/**
 * An HTTP server of one stand-in. Belongs to the event loop on which it is deployed, except for {@link #port},
 * {@link #beginLeaving} and {@link #awaitDrained}.
 *
 * <p>Invariant: admin paths are served even while faults are switched on.
 */
abstract class StandInServer extends VerticleBase {
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    /** Where a server listens; port 0 means any free port. */
    record Address(String kind, String id, String host, int port) {}

    private final Address address;
    private volatile int actualPort;

    StandInServer(Address address) {
        this.address = address;
    }

    /** Adds the routes of the stand-in. */
    abstract void addRoutes(Router router);

    /** Called by the shutdown hook of the process; returns at once. */
    void beginLeaving() {}

    /** Called by the shutdown hook after {@link #beginLeaving}; blocks until work in flight is finished. */
    void awaitDrained() {}

    /** Called with the server before it listens. */
    void configure(HttpServer server) {}

    @Override
    public Future<?> start() {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        addRoutes(router);
        HttpServer server = vertx.createHttpServer(new HttpServerOptions()).requestHandler(router);
        configure(server);
        return server.listen(address.port(), address.host())
                .onSuccess(listening -> actualPort = listening.actualPort());
    }

    final String id() {
        return address.id();
    }

    /** The port on which the server listens; 0 before it does. */
    final int port() {
        return actualPort;
    }

    final String describe() {
        int shown = actualPort == 0 ? address.port() : actualPort;
        return "kind=" + address.kind() + " id=" + address.id() + " host=" + address.host() + " port=" + shown;
    }

    /** The body of a request; empty if it has none. */
    static Buffer bodyOf(RoutingContext context) {
        Buffer body = context.body().buffer();
        return body == null ? Buffer.buffer() : body;
    }

    /** Passes the JSON object of an admin request on and answers 200, or 400 if it is invalid. */
    static void withJson(RoutingContext context, Consumer<JsonObject> use) {
        try {
            use.accept(new JsonObject(bodyOf(context)));
            Answer.of(200).send(context);
        } catch (DecodeException | IllegalArgumentException | ClassCastException | NullPointerException e) {
            Answer.error(400, "invalid request: " + e.getMessage()).send(context);
        }
    }
}
