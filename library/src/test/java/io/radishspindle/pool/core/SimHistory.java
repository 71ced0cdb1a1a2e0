package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.RunEnd;
import io.radishspindle.pool.model.TaskName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Records the runs on the workers and checks that a task never has two runs at once, and none after its success was
 * acknowledged. Not thread-safe.
 */
final class SimHistory {
    private final Map<TaskName, Set<String>> running = new HashMap<>();
    private final Set<TaskName> acknowledgedSuccess = new HashSet<>();
    private final Set<TaskName> listedSuccess = new HashSet<>();
    /** Runs that started after their worker had listed a success of the task. */
    final List<Run> startsAfterListedSuccess = new ArrayList<>();

    final Set<TaskName> succeeded = new HashSet<>();
    final List<String> violations = new ArrayList<>();
    final Map<TaskName, Long> firstStartMs = new HashMap<>();
    /** What runs of each tenant on the workers, by the declared size of the tasks. */
    final Map<String, Resources> runningByTenant = new HashMap<>();
    /** Quotas by tenant, checked at each start. */
    Map<String, Resources> quotas = Map.of();

    int starts;
    private final Map<TaskName, Integer> crashes = new HashMap<>();
    private final Map<TaskName, Integer> startsAfterThirdCrash = new HashMap<>();

    /** A task has crashed the worker that started it. */
    void crashedUnder(TaskName task) {
        crashes.merge(task, 1, Integer::sum);
    }

    /** Number of workers that crashed under a task. */
    int crashes(TaskName task) {
        return crashes.getOrDefault(task, 0);
    }

    int crashes() {
        return crashes.values().stream().mapToInt(Integer::intValue).sum();
    }

    void violation(String text) {
        violations.add(text);
    }

    void charge(@Nullable String tenant, Resources amount) {
        if (tenant == null) {
            return;
        }
        Resources sum = runningByTenant.merge(tenant, amount, Resources::plus);
        Resources quota = quotas.getOrDefault(tenant, sum);
        if (!sum.fitsIn(quota)) {
            violation("tenant " + tenant + " runs " + sum + " of " + quota);
        }
    }

    void discharge(@Nullable String tenant, Resources amount) {
        if (tenant != null) {
            runningByTenant.merge(tenant, Resources.NONE.minus(amount), Resources::plus);
        }
    }

    void started(Run run, String worker, long nowMs) {
        starts++;
        if (crashes(run.task()) >= 3 && startsAfterThirdCrash.merge(run.task(), 1, Integer::sum) == 3) {
            violation(run.task() + " started three times more after three workers had crashed under it");
        }
        firstStartMs.putIfAbsent(run.task(), nowMs);
        if (acknowledgedSuccess.contains(run.task())) {
            violation(run + " started after its success was acknowledged");
        }
        if (listedSuccess.contains(run.task())) {
            startsAfterListedSuccess.add(run);
        }
        Set<String> runningOn = running.computeIfAbsent(run.task(), ignored -> new HashSet<>());
        if (!runningOn.isEmpty()) {
            violation(run + " started at " + worker + " while it ran at " + runningOn);
        }
        runningOn.add(worker);
    }

    boolean isRunning(TaskName task) {
        return !running.getOrDefault(task, Set.of()).isEmpty();
    }

    int runningTasks() {
        return (int)
                running.values().stream().filter(workers -> !workers.isEmpty()).count();
    }

    void ended(Run run, String worker, RunEnd end) {
        running.getOrDefault(run.task(), Set.of()).remove(worker);
        if (end == RunEnd.DONE) {
            succeeded.add(run.task());
        }
    }

    void lost(Run run, String worker) {
        running.getOrDefault(run.task(), new HashSet<>()).remove(worker);
    }

    /** A worker has listed the end in an answer, which may not arrive. */
    void listed(Run run, RunEnd end) {
        if (end == RunEnd.DONE) {
            listedSuccess.add(run.task());
        }
    }

    void acknowledged(Run run, RunEnd end) {
        if (end == RunEnd.DONE) {
            acknowledgedSuccess.add(run.task());
        }
    }
}
