package io.radishspindle.config;

import io.radishspindle.config.ConfigAction.Applied;
import io.radishspindle.config.ConfigAction.Push;
import io.radishspindle.config.ConfigEvent.ChangeRequested;
import io.radishspindle.config.ConfigEvent.DocumentReceived;
import io.radishspindle.config.ConfigEvent.PullAnswered;
import io.radishspindle.config.ConfigEvent.PutAnswered;
import io.radishspindle.config.ConfigEvent.ReadAnswered;
import io.radishspindle.config.ConfigEvent.Tick;
import io.radishspindle.config.ConfigEvent.ViewChanged;
import io.radishspindle.config.ConfigEvent.WatchAnswered;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.EntryVm;
import io.radishspindle.protocol.message.ConfigDocument;
import io.radishspindle.settings.EntrySettings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the configuration of one VM up to date and carries out changes. Deterministic: no I/O, no clock, no
 * randomness. Not thread-safe; belongs to one event loop.
 *
 * <p>Invariant: the revision in force never decreases. No late answer, slow peer or returning data centre reverts it.
 */
final class ConfigCore {
    static final String KEY = "config/current";
    /** Revision of a VM that has no configuration yet. */
    static final long NO_REVISION = -1;

    /** Without the store, a starting VM listens this long to its peers before it takes the newest document. */
    private static final long GATHER_MS = 2_000;
    /** After this time it takes what it has, even if a peer announces a newer revision that it can't get. */
    private static final long MAX_GATHER_MS = 5_000;

    private final EntrySettings.Vm self;
    private final Mechanisms mechanisms;
    private final long startedAtMs;
    private final StoreFollower follower;
    private final PeerPuller puller;
    private final List<ChangeTask> changes = new ArrayList<>();
    private Set<String> activeExceptions = new HashSet<>();
    private @Nullable Versioned current;
    private @Nullable Versioned gathered;
    private @Nullable MembershipView view;
    private long lastId;
    private boolean follows;

    ConfigCore(long nowMs, EntrySettings settings, Mechanisms mechanisms) {
        self = settings.vm();
        this.mechanisms = mechanisms;
        startedAtMs = nowMs;
        follower = new StoreFollower(nowMs, this::nextId, mechanisms.checksQuietWatch());
        puller = new PeerPuller(this::nextId);
    }

    private long nextId() {
        return ++lastId;
    }

    Optional<FleetConfig> current() {
        return Optional.ofNullable(current).map(Versioned::config);
    }

    long revision() {
        Versioned known = current;
        return known == null ? NO_REVISION : known.revision();
    }

    int deadWatches() {
        return follower.deadWatches();
    }

    /** What a peer gets that holds {@code haveRevision}. */
    ConfigDocument answerPull(long haveRevision) {
        Versioned known = current;
        return known == null || known.revision() <= haveRevision
                ? new ConfigDocument(revision(), new byte[0])
                : known.message();
    }

    List<ConfigAction> handle(long nowMs, ConfigEvent event) {
        List<ConfigAction> actions = new ArrayList<>();
        if (event instanceof Tick e) {
            onTick(nowMs, e.wallMs(), actions);
        } else if (event instanceof ViewChanged e) {
            view = e.view();
        } else if (event instanceof ReadAnswered e) {
            onRead(nowMs, e, actions);
        } else if (event instanceof WatchAnswered e) {
            follower.onWatch(nowMs, e.id(), e.answer(), actions).ifPresent(doc -> adopt(nowMs, doc, true, actions));
        } else if (event instanceof PutAnswered e) {
            onPut(nowMs, e, actions);
        } else if (event instanceof PullAnswered e) {
            onPull(nowMs, e, actions);
        } else if (event instanceof DocumentReceived e) {
            onDocument(nowMs, e.document(), actions);
        } else if (event instanceof ChangeRequested e) {
            ChangeTask task = new ChangeTask(nowMs, e, self.id(), this::nextId, this::revision, mechanisms);
            changes.add(task);
            collect(nowMs, task, actions);
        }
        return actions;
    }

    private void onTick(long nowMs, long wallMs, List<ConfigAction> actions) {
        for (ChangeTask task : List.copyOf(changes)) {
            task.onTick(nowMs);
            collect(nowMs, task, actions);
        }
        boolean relay = isRelay();
        boolean mustFollow = relay || current == null;
        if (mustFollow) {
            follower.onTick(nowMs, relay, actions);
        } else if (follows) {
            follower.stop(nowMs);
        }
        follows = mustFollow;
        puller.onTick(nowMs, view, bestRevision(), relay, actions);
        takeGathered(nowMs, actions);
        noticeEndedExceptions(wallMs, actions);
    }

    /** The live VM with the lowest id watches the store for its data centre; before the first view, each VM does. */
    private boolean isRelay() {
        MembershipView known = view;
        return known == null
                || known.liveEntryVms(self.dataCentre()).stream()
                        .findFirst()
                        .map(vm -> vm.id().equals(self.id()))
                        .orElse(true);
    }

    private long bestRevision() {
        Versioned waiting = gathered;
        return waiting == null ? revision() : Math.max(revision(), waiting.revision());
    }

    private void onRead(long nowMs, ReadAnswered e, List<ConfigAction> actions) {
        for (ChangeTask task : List.copyOf(changes)) {
            if (task.awaits(e.id())) {
                task.onRead(nowMs, e.answer());
                collect(nowMs, task, actions);
                return;
            }
        }
        follower.onRead(nowMs, e.id(), e.answer(), isRelay(), revision(), actions)
                .ifPresent(doc -> adopt(nowMs, doc, true, actions));
    }

    private void onPut(long nowMs, PutAnswered e, List<ConfigAction> actions) {
        for (ChangeTask task : List.copyOf(changes)) {
            if (task.awaits(e.id())) {
                task.onPut(nowMs, e.answer());
                collect(nowMs, task, actions);
                return;
            }
        }
    }

    private void collect(long nowMs, ChangeTask task, List<ConfigAction> actions) {
        task.latest().ifPresent(doc -> adopt(nowMs, doc, true, actions));
        actions.addAll(task.drain());
        if (task.isEnded()) {
            changes.remove(task);
        }
    }

    private void onPull(long nowMs, PullAnswered e, List<ConfigAction> actions) {
        puller.onAnswer(e.id(), e.answer().isRight());
        e.answer().peek(document -> onDocument(nowMs, document, actions));
    }

    private void onDocument(long nowMs, ConfigDocument document, List<ConfigAction> actions) {
        byte[] bytes = document.document();
        if (bytes != null && bytes.length > 0) {
            Versioned.of(bytes).ifPresent(doc -> adopt(nowMs, doc, false, actions));
        }
    }

    /** @param fromStore the document is the newest, not just the newest that some peer holds */
    private void adopt(long nowMs, Versioned document, boolean fromStore, List<ConfigAction> actions) {
        boolean gathers = current == null && !fromStore && mechanisms.gathersAtStart();
        if (gathers && nowMs < startedAtMs + MAX_GATHER_MS) {
            if (document.revision() > bestRevision()) {
                gathered = document;
            }
            return;
        }
        apply(document, actions);
    }

    private void takeGathered(long nowMs, List<ConfigAction> actions) {
        Versioned waiting = gathered;
        if (waiting == null || nowMs < startedAtMs + GATHER_MS) {
            return;
        }
        boolean newest = waiting.revision() >= PeerPuller.announcedRevision(view);
        if (newest || nowMs >= startedAtMs + MAX_GATHER_MS) {
            gathered = null;
            apply(waiting, actions);
        }
    }

    private void apply(Versioned document, List<ConfigAction> actions) {
        boolean newer = document.revision() > revision();
        if (!newer && (mechanisms.newerOnly() || document.revision() == revision())) {
            return;
        }
        current = document;
        actions.add(new Applied(document.config()));
        pushToPeers(document, actions);
    }

    private void pushToPeers(Versioned document, List<ConfigAction> actions) {
        MembershipView known = view;
        if (known == null || !isRelay()) {
            return;
        }
        for (EntryVm vm : known.entryVms()) {
            boolean peer = vm.dataCentre().equals(self.dataCentre()) && !vm.id().equals(self.id());
            if (peer && vm.configRevision() < document.revision()) {
                actions.add(new Push(vm.id(), document.message()));
            }
        }
    }

    private void noticeEndedExceptions(long wallMs, List<ConfigAction> actions) {
        Versioned known = current;
        if (known == null) {
            return;
        }
        Set<String> active = known.config().exceptions().stream()
                .filter(e -> e.isActiveAt(wallMs))
                .map(FleetException::id)
                .collect(Collectors.toSet());
        boolean ended = !active.containsAll(activeExceptions);
        activeExceptions = active;
        if (ended) {
            actions.add(new Applied(known.config()));
        }
    }
}
