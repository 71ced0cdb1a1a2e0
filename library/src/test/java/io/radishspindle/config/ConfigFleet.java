package io.radishspindle.config;

import io.radishspindle.config.ConfigAction.Applied;
import io.radishspindle.config.ConfigAction.ChangeEnded;
import io.radishspindle.config.ConfigAction.Pull;
import io.radishspindle.config.ConfigAction.Push;
import io.radishspindle.config.ConfigAction.Put;
import io.radishspindle.config.ConfigAction.Read;
import io.radishspindle.config.ConfigAction.Watch;
import io.radishspindle.config.ConfigEvent.ChangeRequested;
import io.radishspindle.config.ConfigEvent.DocumentReceived;
import io.radishspindle.config.ConfigEvent.PullAnswered;
import io.radishspindle.config.ConfigEvent.PutAnswered;
import io.radishspindle.config.ConfigEvent.ReadAnswered;
import io.radishspindle.config.ConfigEvent.Tick;
import io.radishspindle.config.ConfigEvent.ViewChanged;
import io.radishspindle.config.ConfigEvent.WatchAnswered;
import io.radishspindle.error.Failure;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.EntryVm;
import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.protocol.message.ConfigDocument;
import io.radishspindle.settings.EntrySettings;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Several configuration cores with a fake store and a fake network in virtual time. */
final class ConfigFleet {
    static final long WALL_START_MS = 1_800_000_000_000L;

    /** One VM; its history of applied revisions outlives restarts. */
    final class Vm {
        final String id;
        final String dataCentre;
        final List<Long> history = new ArrayList<>();
        ConfigCore core;
        boolean running;
        int start;

        Vm(String id, String dataCentre) {
            this.id = id;
            this.dataCentre = dataCentre;
            restart();
        }

        void restart() {
            running = true;
            start++;
            EntrySettings settings = new EntrySettings(
                    new EntrySettings.Vm(id, dataCentre, "region", "127.0.0.1"), null, null, null, null, null);
            core = new ConfigCore(time.nowMs(), settings, mechanisms);
        }

        void stop() {
            running = false;
            start++;
        }

        long revision() {
            return core.revision();
        }

        void handle(ConfigEvent event) {
            if (running) {
                core.handle(time.nowMs(), event).forEach(action -> run(this, action));
            }
        }

        /** Wraps a callback so that it is dropped after a restart. */
        private void later(int atStart, ConfigEvent event) {
            if (start == atStart) {
                handle(event);
            }
        }
    }

    final VirtualTime time = new VirtualTime();
    final FakeStore store = new FakeStore(time);
    final Map<String, Vm> vms = new TreeMap<>();
    private final Mechanisms mechanisms;
    private final Map<String, Long> cutUntil = new TreeMap<>();
    private final Map<Long, Consumer<Either<Failure, FleetConfig>>> operators = new TreeMap<>();
    private long lastChange;
    long linkMs = 1;
    long pushDelayMs;

    /** @param layout data centre and number of its VMs, in turn; ids are the data centre and a number from 1 */
    ConfigFleet(Mechanisms mechanisms, Object... layout) {
        this.mechanisms = mechanisms;
        for (int i = 0; i < layout.length; i += 2) {
            for (int n = 1; n <= (Integer) layout[i + 1]; n++) {
                String id = layout[i] + "" + n;
                vms.put(id, new Vm(id, (String) layout[i]));
            }
        }
        time.every(250, this::exchangeHeartbeats);
        time.every(100, () -> vms.values().forEach(vm -> vm.handle(new Tick(wallMs()))));
    }

    long wallMs() {
        return WALL_START_MS + time.nowMs();
    }

    Vm vm(String id) {
        return vms.get(id);
    }

    /** Cuts a VM off from all VMs that are not cut off, and the other way round. */
    void cut(String id) {
        cutUntil.put(id, Long.MAX_VALUE);
        store.setReachable(id, false);
    }

    void rejoin(String id) {
        cutUntil.remove(id);
        store.setReachable(id, true);
    }

    private boolean connected(Vm a, Vm b) {
        boolean sameSide = cutUntil.containsKey(a.id) == cutUntil.containsKey(b.id);
        return a.running && b.running && sameSide;
    }

    private void exchangeHeartbeats() {
        for (Vm self : vms.values()) {
            if (self.running) {
                self.handle(new ViewChanged(view(self)));
            }
        }
    }

    private MembershipView view(Vm self) {
        List<EntryVm> seen = new ArrayList<>();
        for (Vm vm : vms.values()) {
            boolean live = vm == self || connected(self, vm);
            long revision = live ? vm.revision() : 0;
            seen.add(new EntryVm(
                    vm.id, vm.dataCentre, "", 0, live ? Liveness.LIVE : Liveness.SUSPECT, revision, List.of()));
        }
        EntryVm own =
                seen.stream().filter(vm -> vm.id().equals(self.id)).findFirst().orElseThrow();
        return new MembershipView(own, seen, List.of(), List.of(), Map.of());
    }

    private void run(Vm vm, ConfigAction action) {
        int start = vm.start;
        if (action instanceof Read read) {
            store.get(vm.id, read.key(), answer -> vm.later(start, new ReadAnswered(read.id(), answer)));
        } else if (action instanceof Watch w) {
            store.watch(
                    vm.id,
                    w.key(),
                    w.afterRevision(),
                    w.waitMs(),
                    answer -> vm.later(start, new WatchAnswered(w.id(), answer)));
        } else if (action instanceof Put p) {
            store.put(
                    vm.id,
                    p.key(),
                    p.value(),
                    p.expectedVersion(),
                    answer -> vm.later(start, new PutAnswered(p.id(), answer)));
        } else if (action instanceof Pull pull) {
            pull(vm, start, pull);
        } else if (action instanceof Push push) {
            Vm to = vm(push.toVm());
            time.after(linkMs + pushDelayMs, () -> to.handle(new DocumentReceived(vm.id, push.document())));
        } else if (action instanceof ChangeEnded ended) {
            operators.remove(ended.changeNumber()).accept(ended.result());
        } else if (action instanceof Applied applied) {
            vm.history.add(applied.config().revision());
        }
    }

    private void pull(Vm vm, int start, Pull pull) {
        Vm from = vm(pull.fromVm());
        if (!connected(vm, from)) {
            Failure failure = Failure.outcomeUnknown("peer.request", from.id, "no answer");
            time.after(1_000, () -> vm.later(start, new PullAnswered(pull.id(), Either.left(failure))));
            return;
        }
        time.after(linkMs, () -> {
            ConfigDocument answer = from.core.answerPull(pull.haveRevision());
            time.after(linkMs, () -> vm.later(start, new PullAnswered(pull.id(), Either.right(answer))));
        });
    }

    /** Sends a change through a VM; the consumer gets the operator's answer. */
    String change(String vmId, ConfigChange change, Consumer<Either<Failure, FleetConfig>> answer) {
        long number = ++lastChange;
        operators.put(number, answer);
        String changeId = "change-" + number;
        vm(vmId).handle(new ChangeRequested(number, changeId, wallMs(), change));
        return changeId;
    }

    /** Sets a default through a VM and lets the change take effect. */
    void setDefault(String vmId, int value) {
        change(vmId, setQueue(store.document().revision(), "operator", value), answer -> {});
        time.runFor(1_000);
    }

    static ConfigChange.SetDefault setQueue(long basedOn, String actor, int value) {
        return new ConfigChange.SetDefault(basedOn, actor, "test", "max-queued-tasks", "" + value);
    }
}
