package io.radishspindle.placement.internal;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.Resources;
import io.radishspindle.placement.PlacementPolicy;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** The queue of each class and the teams. Not thread-safe. */
final class Queues {
    final Shapes shapes = new Shapes();
    private final Map<JobClass, ClassQueue> byClass = new EnumMap<>(JobClass.class);
    private final Map<String, Team> teams = new HashMap<>();
    private int waitingTasks;
    /** Set when something has changed that may let a waiting task start. */
    boolean changed;

    Queues() {
        for (JobClass jobClass : JobClass.values()) {
            byClass.put(jobClass, new ClassQueue(shapes));
        }
    }

    Team team(String name) {
        return teams.computeIfAbsent(name, Team::new);
    }

    boolean isAnyTeamBorrowing(PlacementPolicy policy) {
        return teams.values().stream().anyMatch(team -> team.share(policy) > 1);
    }

    ClassQueue of(JobClass jobClass) {
        ClassQueue queue = byClass.get(jobClass);
        if (queue == null) {
            throw new IllegalStateException("no queue for class " + jobClass);
        }
        return queue;
    }

    /** Returns the number of tasks of all jobs that wait in a queue or for a timer. */
    int waitingTasks() {
        return waitingTasks;
    }

    void move(JobState job, int index, TaskPhase to) {
        boolean wasWaiting = isWaiting(job.phase(index));
        job.move(index, to);
        onPhaseChange(job, wasWaiting, isWaiting(to));
    }

    /** Updates the queues after a phase change that was made on the job directly. */
    void onPhaseChange(JobState job, boolean wasWaiting, boolean nowWaiting) {
        if (wasWaiting != nowWaiting) {
            waitingTasks += nowWaiting ? 1 : -1;
        }
        ClassQueue queue = of(job.spec.jobClass());
        if (job.count(TaskPhase.READY) == 0) {
            queue.remove(job);
        } else {
            queue.add(job, team(job.spec.team()));
            changed |= nowWaiting;
        }
    }

    static boolean isWaiting(TaskPhase phase) {
        return phase == TaskPhase.READY || phase == TaskPhase.DELAYED;
    }

    void countWaiting(JobState job) {
        waitingTasks += job.count(TaskPhase.DELAYED);
    }

    void remove(JobState job) {
        of(job.spec.jobClass()).remove(job);
    }

    void charge(JobState job, Resources amount) {
        Team team = team(job.spec.team());
        team.used = team.used.plus(amount);
    }

    void release(JobState job, Resources amount) {
        Team team = team(job.spec.team());
        team.used = team.used.minus(amount);
        if (team.used.milliCores() < 0 || team.used.memoryMib() < 0 || team.used.accelerators() < 0) {
            throw new IllegalStateException("team " + team.name + " is charged a negative amount: " + team.used);
        }
    }
}
