package io.radishspindle.standin;

import io.radishspindle.platform.VmList.Listing;
import io.radishspindle.platform.VmList.Vm;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The list of VMs as it was some time ago. Not thread-safe.
 *
 * <p>Invariant: the version shown never decreases.
 */
final class VmListState {
    private record Dated(long atMs, Listing listing) {}

    private final long lagMs;
    private final Deque<Dated> history = new ArrayDeque<>();
    private final Map<String, Vm> current = new LinkedHashMap<>();
    private long version;

    /** The first list is visible at once. */
    VmListState(List<Vm> first, long lagMs) {
        this.lagMs = lagMs;
        first.forEach(vm -> current.put(vm.id(), vm));
        version = 1;
        history.add(new Dated(Long.MIN_VALUE, new Listing(version, List.copyOf(current.values()))));
    }

    /** Adds or replaces VMs and removes others, as one change. */
    void change(long nowMs, List<Vm> put, List<String> removed) {
        put.forEach(vm -> current.put(vm.id(), vm));
        removed.forEach(current::remove);
        version++;
        history.add(new Dated(nowMs, new Listing(version, new ArrayList<>(current.values()))));
    }

    /** What the list shows at this time. */
    Listing visible(long nowMs) {
        while (history.size() > 1 && isSecondVisible(nowMs)) {
            history.removeFirst();
        }
        return history.getFirst().listing();
    }

    private boolean isSecondVisible(long nowMs) {
        Dated second = history.stream().skip(1).findFirst().orElseThrow();
        return second.atMs() + lagMs <= nowMs;
    }
}
