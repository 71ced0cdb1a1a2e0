package io.radishspindle.demo;

import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.standin.WorkerEvent;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * What the workers themselves recorded, and the guarantees checked against it. Immutable and thread-safe.
 *
 * <p>All times are wall-clock milliseconds of one machine. A task does not run while its worker's process is paused,
 * nor after the process was killed.
 */
public final class WorkerHistories {
    /** A time during which an attempt ran on a worker without interruption. */
    record Segment(String worker, TaskAttempt attempt, Resources resources, long fromMs, long untilMs) {}

    private final List<Segment> segments = new ArrayList<>();
    private final Map<String, Resources> capacities = new HashMap<>();
    private final Map<TaskAttempt, String> outcomes = new HashMap<>();
    private final Map<TaskId, Long> firstStarts = new HashMap<>();

    private WorkerHistories() {}

    /** Reads the records of a cluster as they are now. */
    public static WorkerHistories of(Cluster cluster) {
        return read(cluster.workerHistories(), cluster.killedWorkers(), System.currentTimeMillis());
    }

    static WorkerHistories read(Path directory, Map<String, Long> killedAtMs, long nowMs) {
        WorkerHistories histories = new WorkerHistories();
        for (List<WorkerEvent> events : JsonLines.readAll(directory, WorkerEvent.class)) {
            histories.addWorker(events, killedAtMs, nowMs);
        }
        return histories;
    }

    /** Pairs of attempts of one task that ran at the same time. */
    public List<String> tasksInTwoPlaces() {
        Map<TaskId, List<Segment>> byTask = new LinkedHashMap<>();
        segments.stream().sorted(Comparator.comparingLong(Segment::fromMs)).forEach(s -> byTask.computeIfAbsent(
                        s.attempt().task(), id -> new ArrayList<>())
                .add(s));
        List<String> found = new ArrayList<>();
        for (List<Segment> ofTask : byTask.values()) {
            for (int i = 1; i < ofTask.size(); i++) {
                Segment later = ofTask.get(i);
                ofTask.subList(0, i).stream()
                        .filter(earlier -> overlap(earlier, later))
                        .forEach(earlier -> found.add(earlier + " and " + later));
            }
        }
        return found;
    }

    /** Moments at which the attempts on a worker exceeded its capacity. */
    public List<String> overfullWorkers() {
        Map<String, TreeMap<Long, Resources>> changes = new HashMap<>();
        for (Segment segment : segments) {
            TreeMap<Long, Resources> ofWorker = changes.computeIfAbsent(segment.worker(), w -> new TreeMap<>());
            ofWorker.merge(segment.fromMs(), segment.resources(), Resources::plus);
            ofWorker.merge(segment.untilMs(), Resources.NONE.minus(segment.resources()), Resources::plus);
        }
        List<String> found = new ArrayList<>();
        changes.forEach((worker, ofWorker) -> {
            Resources used = Resources.NONE;
            for (Map.Entry<Long, Resources> change : ofWorker.entrySet()) {
                used = used.plus(change.getValue());
                if (!used.fitsIn(capacities.getOrDefault(worker, Resources.NONE))) {
                    found.add(worker + " at " + change.getKey() + ": " + used);
                }
            }
        });
        return found;
    }

    /** Whether an attempt of the task succeeded. */
    public boolean hasSucceeded(TaskId task) {
        return outcomes.entrySet().stream()
                .anyMatch(e -> e.getKey().task().equals(task) && e.getValue().equals("SUCCEEDED"));
    }

    /** Wall-clock time of the first start of a task. */
    public Optional<Long> firstStartMs(TaskId task) {
        return Optional.ofNullable(firstStarts.get(task));
    }

    /** How many attempts ran on a worker at some time after {@code sinceMs}. */
    public long attemptsOn(String worker, long sinceMs) {
        return segments.stream()
                .filter(s -> s.worker().equals(worker) && s.untilMs() >= sinceMs)
                .map(Segment::attempt)
                .distinct()
                .count();
    }

    /** Number of attempts that were started. */
    public int attempts() {
        return (int) segments.stream().map(Segment::attempt).distinct().count();
    }

    /** Ids of all jobs of which an attempt was started. */
    public Set<String> jobIds() {
        return segments.stream().map(s -> s.attempt().task().jobId()).collect(Collectors.toSet());
    }

    /** Times during which attempts of a job ran. */
    List<Segment> segmentsOf(String jobId) {
        return segments.stream()
                .filter(s -> s.attempt().task().jobId().equals(jobId))
                .toList();
    }

    private void addWorker(List<WorkerEvent> events, Map<String, Long> killedAtMs, long nowMs) {
        Map<TaskAttempt, WorkerEvent> open = new LinkedHashMap<>();
        for (WorkerEvent event : events) {
            switch (event.kind()) {
                case BOOT -> {
                    capacities.put(event.worker(), event.resources());
                    long endMs = Math.min(event.atMs(), killedAtMs.getOrDefault(event.worker(), event.atMs()));
                    closeAll(open, endMs);
                }
                case START -> {
                    open.put(event.attempt(), event);
                    firstStarts.merge(event.attempt().task(), event.atMs(), Math::min);
                }
                case END -> {
                    outcomes.put(event.attempt(), event.outcome());
                    close(open.remove(event.attempt()), event.atMs());
                }
                case PAUSE -> interrupt(open, event);
            }
        }
        events.stream().findFirst().ifPresent(e -> closeAll(open, killedAtMs.getOrDefault(e.worker(), nowMs)));
    }

    private void interrupt(Map<TaskAttempt, WorkerEvent> open, WorkerEvent pause) {
        open.replaceAll((attempt, start) -> {
            close(start, Math.max(start.atMs(), pause.atMs()));
            return new WorkerEvent(
                    start.kind(), start.worker(), attempt, start.resources(), "", pause.untilMs(), pause.untilMs());
        });
    }

    private void closeAll(Map<TaskAttempt, WorkerEvent> open, long atMs) {
        open.values().forEach(start -> close(start, Math.max(atMs, start.atMs())));
        open.clear();
    }

    private void close(@Nullable WorkerEvent start, long atMs) {
        if (start != null) {
            segments.add(new Segment(start.worker(), start.attempt(), start.resources(), start.atMs(), atMs));
        }
    }

    private static boolean overlap(Segment a, Segment b) {
        if (a.attempt().equals(b.attempt())) {
            return !a.worker().equals(b.worker());
        }
        return a.fromMs() < b.untilMs() && b.fromMs() < a.untilMs();
    }
}
