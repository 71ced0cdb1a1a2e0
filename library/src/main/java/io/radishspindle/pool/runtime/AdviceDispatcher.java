package io.radishspindle.pool.runtime;

import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
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
    /** A VM whose call has failed is not asked for this long, in milliseconds; a restart takes one to two seconds. */
    private static final long PASS_OVER_MS = 1_000;

    private final AdviceService service;
    private final PeerMessenger messenger;
    private final NodeIdentity self;
    private final ControlView view;
    private final Map<String, Integer> busy = new HashMap<>();
    private final Map<String, Long> passedOverUntilMs = new HashMap<>();
    private final Clock clock;

    AdviceDispatcher(Clock clock, AdviceService service, PeerMessenger messenger, NodeIdentity self, ControlView view) {
        this.clock = clock;
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
                passedOverUntilMs.put(vm, clock.nowMs() + PASS_OVER_MS);
            }
        });
    }

    private String leastBusy() {
        return channels().stream()
                .min(Comparator.comparingInt((String vm) -> busy.getOrDefault(vm, 0))
                        .thenComparing(vm -> vm.equals(self.vmId())))
                .orElse(self.vmId());
    }

    private List<String> channels() {
        Set<String> live = view.live().keySet();
        List<String> all = new ArrayList<>(live);
        if (!live.contains(self.vmId())) {
            all.add(self.vmId());
        }
        long nowMs = clock.nowMs();
        all.removeIf(vm -> passedOverUntilMs.getOrDefault(vm, Long.MIN_VALUE) > nowMs);
        return all;
    }
}
