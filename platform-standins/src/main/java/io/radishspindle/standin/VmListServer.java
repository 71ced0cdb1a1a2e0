package io.radishspindle.standin;

import io.radishspindle.platform.Clock;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.platform.VmList.Listing;
import io.radishspindle.platform.VmList.Vm;
import io.radishspindle.platform.http.Wire;
import io.vertx.core.Future;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The lagging VM list. Belongs to one event loop.
 *
 * <p>{@code POST /admin/vms} takes {@code {"put": [VM...], "remove": [ID...]}} and changes the list as a whole.
 */
final class VmListServer extends StandInServer {
    private static final int NOT_MODIFIED = 304;

    private final Clock clock = new SystemClock();
    private final VmListState state;

    /** Part of the tag, because versions start again with the process. */
    private final long startedAtMs = clock.wallMs();

    VmListServer(Address address, List<Vm> first, long lagMs) {
        super(address);
        this.state = new VmListState(first, lagMs);
    }

    @Override
    void addRoutes(Router router) {
        FaultGate gate = new FaultGate(vertx, 0);
        router.get("/v1/vms")
                .handler(c -> gate.run(c, () -> listing(c.request().getHeader(HttpHeaders.IF_NONE_MATCH))));
        router.post("/admin/vms").handler(c -> withJson(c, this::change));
        router.post("/admin/faults").handler(c -> withJson(c, json -> gate.set(FaultGate.Faults.fromJson(json))));
    }

    private Future<Answer> listing(@Nullable String knownTag) {
        Listing listing = state.visible(clock.nowMs());
        String tag = "\"" + startedAtMs + "-" + listing.version() + "\"";
        Answer answer = tag.equals(knownTag) ? Answer.of(NOT_MODIFIED) : Answer.json(200, listing);
        return Future.succeededFuture(answer.with("ETag", tag));
    }

    private void change(JsonObject json) {
        List<Vm> put = new ArrayList<>();
        for (Object vm : json.getJsonArray("put", new JsonArray())) {
            put.add(Wire.fromJson(((JsonObject) vm).toBuffer(), Vm.class, "vm-list.change", id())
                    .getOrElseThrow(failure -> new IllegalArgumentException(failure.message())));
        }
        List<String> removed = json.getJsonArray("remove", new JsonArray()).stream()
                .map(String.class::cast)
                .toList();
        state.change(clock.nowMs(), put, removed);
    }
}
