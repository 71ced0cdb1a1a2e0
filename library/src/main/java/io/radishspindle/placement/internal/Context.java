package io.radishspindle.placement.internal;

import io.radishspindle.placement.PlacementAction;
import io.radishspindle.placement.PlacementPolicy;
import java.util.ArrayList;
import java.util.List;

/**
 * State that all components of the core share: time, policy, authority and the actions not yet returned. Not
 * thread-safe.
 */
final class Context {
    long nowMs;
    PlacementPolicy policy;
    boolean mayStart;
    long epoch;
    private List<PlacementAction> actions = new ArrayList<>();

    Context(PlacementPolicy policy) {
        this.policy = policy;
    }

    void emit(PlacementAction action) {
        actions.add(action);
    }

    List<PlacementAction> takeActions() {
        if (actions.isEmpty()) {
            return List.of();
        }
        List<PlacementAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }
}
