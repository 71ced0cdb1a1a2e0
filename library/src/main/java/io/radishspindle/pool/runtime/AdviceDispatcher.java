package io.radishspindle.pool.runtime;

import io.radishspindle.error.Failure;
import io.radishspindle.pool.port.AdviceService;
import io.radishspindle.pool.port.AdviceService.Advice;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.PoolMessages.AdviceGiven;
import io.radishspindle.protocol.message.PoolMessages.AskAdvice;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Spreads calls for advice over all VMs, because the service handles one call at a time for each calling VM. Belongs
 * to one event loop.
 */
final class AdviceDispatcher {
    /** Added to the expected duration before a call counts as failed, in milliseconds. */
    private static final long SLACK_MS = 700;
    /** A VM whose call has failed is passed over for this many further choices. */
    private static final int PASSED_OVER = 8;

    private final AdviceService service;
    private final PeerMessenger messenger;
    private final NodeIdentity self;
    private final ControlView view;
    private final Map<String, Integer> busy = new HashMap<>();
    private final Map<String, Integer> penalty = new HashMap<>();

    AdviceDispatcher(AdviceService service, PeerMessenger messenger, NodeIdentity self, ControlView view) {
        this.service = service;
        this.messenger = messenger;
        this.self = self;
        this.view = view;
    }

    /** Number of VMs without a call from here. */
    int idleChannels() {
        int idle = 0;
        for (String vm : channels()) {
            if (busy.getOrDefault(vm, 0) == 0) {
                idle++;
            }
        }
        return idle;
    }

    Future<Either<Failure, Advice>> advise(String step, List<String> workers, long expectedMs) {
        String vm = leastBusy();
        busy.merge(vm, 1, Integer::sum);
        long timeoutMs = expectedMs + SLACK_MS;
        Future<Either<Failure, Advice>> call = vm.equals(self.vmId())
                ? service.advise(step, workers, timeoutMs)
                : messenger
                        .request(vm, new AskAdvice(step, workers, timeoutMs), AdviceGiven.class, timeoutMs)
                        .map(reply -> reply.map(given -> new Advice(given.tickets(), given.validMs())));
        return call.onSuccess(result -> {
            busy.merge(vm, -1, Integer::sum);
            if (result.isLeft()) {
                penalty.put(vm, PASSED_OVER);
            }
        });
    }

    private String leastBusy() {
        String best = channels().stream()
                .min(Comparator.comparingInt((String vm) -> busy.getOrDefault(vm, 0))
                        .thenComparingInt(vm -> penalty.getOrDefault(vm, 0))
                        .thenComparing(vm -> vm.equals(self.vmId())))
                .orElse(self.vmId());
        penalty.replaceAll((vm, left) -> Math.max(0, left - 1));
        return best;
    }

    private List<String> channels() {
        Set<String> live = view.live().keySet();
        List<String> all = new ArrayList<>(live);
        if (!live.contains(self.vmId())) {
            all.add(self.vmId());
        }
        return all;
    }
}
