package io.radishspindle.placement.internal;

import io.radishspindle.model.Resources;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The distinct resource demands of waiting tasks. Not thread-safe.
 *
 * <p>Invariant: a shape exists as long as a bucket uses it; {@code blocked} holds exactly the blocked ones.
 */
final class Shapes {
    private final Map<Resources, Shape> byDemand = new HashMap<>();
    private final Set<Shape> blocked = new LinkedHashSet<>();
    private int withAccelerators;

    Shape acquire(Resources demand) {
        Shape shape = byDemand.computeIfAbsent(demand, Shape::new);
        if (shape.users++ == 0 && demand.accelerators() > 0) {
            withAccelerators++;
        }
        return shape;
    }

    void release(Shape shape) {
        shape.users--;
        if (shape.users == 0) {
            byDemand.remove(shape.demand);
            withAccelerators -= shape.demand.accelerators() > 0 ? 1 : 0;
            blocked.remove(shape);
        }
    }

    boolean isAnyWithAccelerators() {
        return withAccelerators > 0;
    }

    void block(Shape shape) {
        shape.blocked = true;
        blocked.add(shape);
    }

    /** Must be called when a worker has gained free resources. */
    void unblockFitting(Resources free) {
        blocked.removeIf(shape -> {
            boolean fits = shape.demand.fitsIn(free);
            shape.blocked = !fits;
            return fits;
        });
    }
}
