package io.radishspindle.standin;

import io.radishspindle.platform.Clock;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.platform.VmList.Vm;
import io.radishspindle.platform.http.Wire;
import io.vertx.core.Future;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import java.util.ArrayList;
import java.util.List;

/**
 * The lagging VM list. Belongs to one event loop.
 *
 * <p>{@code POST /admin/vms} takes {@code {"put": [VM...], "remove": [ID...]}} and changes the list as a whole.
 */
final class VmListServer extends StandInServer {
    private final Clock clock = new SystemClock();
    private final VmListState state;

    VmListServer(Address address, List<Vm> first, long lagMs) {
        super(address);
        this.state = new VmListState(first, lagMs);
    }

    @Override
    void addRoutes(Router router) {
        FaultGate gate = new FaultGate(vertx, 0);
        router.get("/v1/vms").handler(c -> gate.run(c, this::listing));
        router.post("/admin/vms").handler(c -> withJson(c, this::change));
        router.post("/admin/faults").handler(c -> withJson(c, json -> gate.set(FaultGate.Faults.fromJson(json))));
    }

    private Future<Answer> listing() {
        return Future.succeededFuture(Answer.json(200, state.visible(clock.nowMs())));
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
