package io.radishspindle.placement;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.model.TaskOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Applies random events, including stale, repeated and unknown ones, and checks the invariants on all actions. */
class RandomEventsTest {
    private static final int WORKERS = 8;
    private static final int KINDS = 16;

    /**
     * Guards against overcommitted workers, second live attempts, starts without authority and partly started gangs.
     */
    @Property(
            tries = 150,
            seed = "20261204",
            shrinking = ShrinkingMode.BOUNDED,
            afterFailure = AfterFailureMode.PREVIOUS_SEED)
    void should_keep_the_invariants_under_any_sequence_of_events(
            @ForAll @Size(min = 50, max = 400) List<@IntRange(min = 0, max = 1_000_000) Integer> steps) {
        // given
        GroupFake group = new GroupFake(new PlacementPolicy(new Resources(20_000, 20_000, 2), Map.of(), 100_000, true));
        group.claimAll(WORKERS, 3, new Resources(8_000, 16_000, 2));
        // when and then: the checker examines every action
        for (int step : steps) {
            apply(group, step % KINDS, step / KINDS);
        }
    }

    private static void apply(GroupFake group, int kind, int value) {
        switch (kind) {
            case 0, 1, 2 -> group.accept(job("j" + value % 200, value));
            case 3 -> group.cancel("j" + value % 200);
            case 4, 5 -> endOne(group, value);
            case 6 -> endStale(group, value);
            case 7 -> refuseOne(group, value);
            case 8 -> reportUsage(group, value);
            case 9 -> group.claim(workerOf(group, value));
            case 10 -> group.unreachable(workerOf(group, value).id());
            case 11 -> group.lost(workerOf(group, value).id());
            case 12 -> recover(group, value);
            case 13 -> changeSettings(group, value);
            default -> group.tick(value % 7 == 0 ? value % 20_000 : 50);
        }
    }

    private static io.radishspindle.model.WorkerInfo workerOf(GroupFake group, int value) {
        return group.checker.workers.get(String.format("w%02d", value % WORKERS));
    }

    private static JobSpec job(String id, int value) {
        JobClass jobClass = JobClass.values()[value % 4];
        Resources perTask = new Resources(500 + value % 6 * 1_000, 500 + value % 5 * 2_000, value % 11 == 0 ? 1 : 0);
        String family = "f" + value % 5;
        return new JobSpec(id, "t" + value % 3, family, jobClass, 1 + value % 6, perTask, 10_000, 2, Map.of());
    }

    private static void endOne(GroupFake group, int value) {
        List<TaskAttempt> live = running(group);
        if (!live.isEmpty()) {
            TaskOutcome outcome = TaskOutcome.values()[value % 4];
            group.end(live.get(value % live.size()), outcome);
        }
    }

    private static List<TaskAttempt> running(GroupFake group) {
        List<TaskAttempt> live = new ArrayList<>();
        for (String worker : group.checker.usable) {
            live.addAll(group.checker.attemptsOn(worker).keySet());
        }
        return live;
    }

    private static void endStale(GroupFake group, int value) {
        List<TaskAttempt> ended = new ArrayList<>(group.checker.everStarted);
        ended.removeIf(a -> group.checker.running.values().stream().anyMatch(held -> held.containsKey(a)));
        if (!ended.isEmpty()) {
            TaskAttempt stale = ended.get(value % ended.size());
            TaskOutcome outcome = TaskOutcome.values()[value % 4];
            group.send(new PlacementEvent.TaskEnded(stale, "w0" + value % WORKERS, outcome, "late"));
        }
        TaskAttempt unknown = new TaskAttempt(new TaskId("j" + value % 200, value % 9 - 1), GroupFake.EPOCH + 1, 1);
        group.send(new PlacementEvent.TaskEnded(unknown, "w99", TaskOutcome.FAILED, "unknown"));
        group.send(new PlacementEvent.StartRefused(unknown, "w00", "unknown"));
        group.send(new PlacementEvent.UsageReported(unknown, new Resources(1, 1, 1)));
    }

    private static void refuseOne(GroupFake group, int value) {
        List<TaskAttempt> live = running(group);
        if (!live.isEmpty()) {
            group.refuse(live.get(value % live.size()));
        }
    }

    private static void reportUsage(GroupFake group, int value) {
        List<TaskAttempt> live = running(group);
        if (!live.isEmpty()) {
            Resources used = new Resources(value % 12_000, value % 20_000, 0);
            group.send(new PlacementEvent.UsageReported(live.get(value % live.size()), used));
        }
    }

    private static void recover(GroupFake group, int value) {
        JobSpec job = job("r" + value % 100, value);
        group.recover(job, value % 2 == 0 ? Set.of() : Set.of(0), group.nowMs + value % 15_000);
    }

    private static void changeSettings(GroupFake group, int value) {
        switch (value % 4) {
            case 0 -> group.authority(value % 3 > 0);
            case 1 -> group.leaving(workerOf(group, value).id());
            case 2 -> group.send(new PlacementEvent.JobCancelled("unknown"));
            default ->
                group.send(new PlacementEvent.PolicyChanged(new PlacementPolicy(
                        new Resources(value % 50_000, 30_000, 2), Map.of(), 50_000, value % 2 == 0)));
        }
    }
}
