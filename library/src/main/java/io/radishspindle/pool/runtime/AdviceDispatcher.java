package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.core.AdviceChannels;
import io.radishspindle.pool.port.AdviceService.Advice;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.PoolMessages.AdviceReply;
import io.radishspindle.protocol.message.PoolMessages.RequestAdvice;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Spreads an owner's calls for advice over all VMs, because the service handles one call at a time for each calling VM.
 * The VMs are shared out among the pools, so that the long calls of one pool don't hold up the short calls of another.
 * Belongs to one event loop.
 *
 * <p>Invariants: an owner has at most one call at a VM; long calls leave half of the VMs of other pools alone.
 */
final class AdviceDispatcher {
    /** A VM whose call has failed is not asked for this long, in milliseconds; a restart takes one to two seconds. */
    private static final long PASS_OVER_MS = 1_000;
    /** Calls that are expected to take longer, in milliseconds, would hold up others noticeably. */
    private static final long LONG_CALL_MS = 100;
    /** A pool without a short call for this long, in milliseconds, keeps no VM free for one. */
    private static final long SHORT_CALLS_KEPT_MS = 10_000;
    /** VMs tried for one call before the owner plans anew. */
    private static final int MAX_TRIES = 3;

    /** Calls of this VM by the VM through which they go. */
    private record Call(String pool, boolean isLong) {}

    private final AdviceChannel local;
    private final PeerMessenger messenger;
    private final NodeIdentity self;
    private final ControlView view;
    private final Supplier<List<String>> pools;
    private final Clock clock;
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<String, Long> passedOverUntilMs = new HashMap<>();
    private final Map<String, Long> lastShortCallMs = new HashMap<>();

    /** @param pools names of all pools, in an order on which all VMs agree */
    AdviceDispatcher(
            Clock clock,
            AdviceChannel local,
            PeerMessenger messenger,
            NodeIdentity self,
            ControlView view,
            Supplier<List<String>> pools) {
        this.clock = clock;
        this.local = local;
        this.messenger = messenger;
        this.self = self;
        this.view = view;
        this.pools = pools;
    }

    /** VMs through which a pool may call, split by whose they are. */
    private final class Share {
        final List<String> own = new ArrayList<>();
        final List<String> others = new ArrayList<>();
        private final String pool;

        Share(String pool) {
            this.pool = pool;
            List<String> vms = vms();
            List<String> names = pools.get();
            int index = Math.max(0, names.indexOf(pool));
            for (int i = 0; i < vms.size(); i++) {
                boolean mine = names.size() <= 1 || vms.size() < names.size() || i % names.size() == index;
                (mine ? own : others).add(vms.get(i));
            }
        }

        List<String> idle(List<String> vms) {
            long nowMs = clock.nowMs();
            return vms.stream()
                    .filter(vm -> !calls.containsKey(vm))
                    .filter(vm -> passedOverUntilMs.getOrDefault(vm, Long.MIN_VALUE) <= nowMs)
                    .toList();
        }

        /** Own VMs that may take a long call now. */
        int ownLongLeft() {
            Long shortCallMs = lastShortCallMs.get(pool);
            boolean keepsOne =
                    own.size() > 1 && shortCallMs != null && clock.nowMs() - shortCallMs < SHORT_CALLS_KEPT_MS;
            return Math.max(0, idle(own).size() - (keepsOne ? 1 : 0));
        }

        int otherLongLeft() {
            long used = others.stream()
                    .filter(vm -> calls.containsKey(vm) && calls.get(vm).isLong())
                    .count();
            return (int) Math.max(0, Math.min(idle(others).size(), others.size() / 2 - used));
        }

        /** VM for a call; empty if none is free for it. */
        String choose(boolean isLong) {
            List<String> mine = selfLast(idle(own));
            if (!mine.isEmpty() && (!isLong || ownLongLeft() > 0)) {
                return mine.get(0);
            }
            List<String> foreign = idle(others);
            return !foreign.isEmpty() && (!isLong || otherLongLeft() > 0) ? foreign.get(0) : "";
        }
    }

    /** What the owner of a pool may call now. */
    AdviceChannels channels(String pool) {
        Share share = new Share(pool);
        int idle = share.idle(share.own).size() + share.idle(share.others).size();
        boolean plentiful = 2 * idle > share.own.size() + share.others.size();
        return new Allowance(idle, share.ownLongLeft() + share.otherLongLeft(), plentiful);
    }

    /** Channels that one pass may use. */
    private static final class Allowance implements AdviceChannels {
        private int idle;
        private int longLeft;
        private final boolean plentiful;

        Allowance(int idle, int longLeft, boolean plentiful) {
            this.idle = idle;
            this.longLeft = longLeft;
            this.plentiful = plentiful;
        }

        @Override
        public boolean tryAcquire(long expectedMs) {
            boolean isLong = expectedMs > LONG_CALL_MS;
            if (idle == 0 || (isLong && longLeft == 0)) {
                return false;
            }
            idle--;
            longLeft -= isLong ? 1 : 0;
            return true;
        }

        @Override
        public boolean arePlentiful() {
            return plentiful;
        }
    }

    /** Number of VMs without a call from here. */
    int idleChannels(String pool) {
        Share share = new Share(pool);
        return share.idle(share.own).size() + share.idle(share.others).size();
    }

    Future<Either<Failure, Advice>> advise(String pool, String step, List<String> workers, long expectedMs) {
        return advise(pool, step, workers, expectedMs, 1);
    }

    private Future<Either<Failure, Advice>> advise(
            String pool, String step, List<String> workers, long expectedMs, int tries) {
        boolean isLong = expectedMs > LONG_CALL_MS;
        String vm = new Share(pool).choose(isLong);
        if (vm.isEmpty()) {
            return Future.succeededFuture(Either.left(Failure.retryable(
                    ErrorCode.OVERLOADED, "advice.call", "", "no VM is free for a call for advice", 0)));
        }
        if (!isLong) {
            lastShortCallMs.put(pool, clock.nowMs());
        }
        calls.put(vm, new Call(pool, isLong));
        return call(vm, step, workers, expectedMs).compose(result -> {
            calls.remove(vm);
            if (result.isRight()) {
                return Future.succeededFuture(result);
            }
            Failure failure = result.getLeft();
            boolean occupied = failure.code() == ErrorCode.OVERLOADED;
            passedOverUntilMs.put(vm, clock.nowMs() + (occupied ? failure.retryAfterMs() : PASS_OVER_MS));
            return occupied && tries < MAX_TRIES
                    ? advise(pool, step, workers, expectedMs, tries + 1)
                    : Future.succeededFuture(result);
        });
    }

    private Future<Either<Failure, Advice>> call(String vm, String step, List<String> workers, long expectedMs) {
        if (vm.equals(self.vmId())) {
            return local.advise(step, workers, expectedMs);
        }
        long timeoutMs = AdviceChannel.timeoutMs(expectedMs);
        return messenger
                .request(vm, new RequestAdvice(step, workers, expectedMs), AdviceReply.class, timeoutMs)
                .map(reply -> reply.map(given -> new Advice(given.tickets(), given.validMs())));
    }

    /** Sorted, so that all VMs share them out alike. */
    private List<String> vms() {
        Set<String> live = view.active().keySet();
        List<String> all = new ArrayList<>(live);
        if (!live.contains(self.vmId())) {
            all.add(self.vmId());
        }
        all.sort(String::compareTo);
        return all;
    }

    /** The VM of an owner has work enough, so that it is chosen last. */
    private List<String> selfLast(List<String> vms) {
        List<String> sorted = new ArrayList<>(vms);
        if (sorted.remove(self.vmId())) {
            sorted.add(self.vmId());
        }
        return sorted;
    }
}
