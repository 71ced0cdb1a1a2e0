package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.CrashSuspects.Suspect;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.TaskCrashes.Crash;
import io.radishspindle.pool.model.TaskCrashes.Exposure;
import io.radishspindle.pool.model.TaskCrashes.Place;
import io.radishspindle.pool.model.WorkerEntry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides which tasks are to blame for the crash of a worker. A worker has crashed once another incarnation answers at
 * its address, in the same pool; until then it may be cut off, removed, or its address may serve something else. To
 * blame are the runs that had not survived their start when the worker's connections broke. Belongs to its scheduler;
 * not thread-safe.
 *
 * <p>Invariants: a task alone is to blame only if no other run can be, if the connections were closed and not silent,
 * and if no other workers were lost at the same moment; a worker that drains ends as planned, so that nothing is to
 * blame.
 */
final class CrashAttribution {
    /** Workers whose connections break within this time, in milliseconds, were lost by the same cause. */
    private static final long SAME_MOMENT_MS = 100;
    /** Other workers lost at the same moment that show a common cause; fewer suffice in the same rack. */
    private static final int COMMON_CAUSE_WORKERS = 2;
    /** Time for which a crash with another cause makes others likely, in milliseconds. */
    private static final long OTHER_CAUSE_MEMORY_MS = 60_000;
    /** Time for which a lost worker may come back to show that it had crashed, in milliseconds. */
    private static final long PROOF_TIMEOUT_MS = 60_000;
    /** Time for which the run of a suspect that an earlier owner may have ordered is waited for, in milliseconds. */
    private static final long INHERITED_EXPOSURE_MS = 9_000;

    /** Time of a loss under an earlier owner, which is unknown. */
    private static final long INHERITED = Long.MIN_VALUE;

    /** Time after such a loss in which few tasks are started on a worker at once, in milliseconds. */
    private static final long CAUTION_MS = 10_000;

    private static final int MAX_KEPT = 1_000;
    /** Crashes of a task before a worker that goes silent during its trial counts as taken down by it alone. */
    private static final int SILENT_CRASHES_BEFORE_SOLE = 2;

    /**
     * A worker that was lost, with the runs that may be to blame.
     *
     * @param conclusive whether nothing but a suspect can be to blame if the worker has crashed
     * @param silent whether the worker went silent, rather than that its connections were closed
     * @param onTrial whether it was closed for trials
     */
    private record Loss(
            WorkerEntry worker,
            long bootWallMs,
            long atMs,
            boolean conclusive,
            List<Suspect> suspects,
            int bystanders,
            boolean silent,
            boolean onTrial,
            long expiresMs) {}

    /** The connections to a worker broke at a certain time, when it had runs of these steps that had just started. */
    private record Break(
            String address, String rack, long atMs, boolean onTrial, boolean closed, Set<StepState> steps) {
        /** Whether the worker may have crashed under a start that is no trial. */
        boolean isUnderStarts() {
            return closed && !onTrial && !steps.isEmpty();
        }
    }

    /**
     * A crash for which several runs may be to blame.
     *
     * @param remaining those that have not turned out to be innocent
     * @param isClosed whether nothing else can be to blame
     */
    private record OpenCase(List<Suspect> remaining, boolean isClosed, long expiresMs) {}

    private final Map<String, WorkerState> workers;
    private final Set<JobState> dirty;
    private final JobEvents jobEvents;
    private final List<PoolAction> actions;
    private final Deque<Break> breaks = new ArrayDeque<>();
    private final CrashDelays delays = new CrashDelays();
    private final List<Loss> unproven = new ArrayList<>();
    private final List<OpenCase> openCases = new ArrayList<>();
    /** Jobs that were given up, while a case of their tasks is open. */
    private final Set<JobState> givenUp = new HashSet<>();

    private long reportsNeededUntilMs = Long.MIN_VALUE;
    /** When a worker last crashed for a cause other than a run that had just been started. */
    private long lastOtherCauseMs = Long.MIN_VALUE / 2;

    CrashAttribution(
            Map<String, WorkerState> workers, Set<JobState> dirty, JobEvents jobEvents, List<PoolAction> actions) {
        this.workers = workers;
        this.dirty = dirty;
        this.jobEvents = jobEvents;
        this.actions = actions;
    }

    /** The first hold since the last answer of a worker has failed. */
    void onBroken(WorkerState worker, long nowMs) {
        CrashSuspects all = CrashSuspects.of(List.copyOf(worker.runs.values()), nowMs);
        CrashSuspects candidates = all.withoutProven().narrowed(delays);
        if (worker.brokenOff && !worker.entry.draining()) {
            all.delayMs().ifPresent(delays::add);
            candidates.suspects().forEach(suspect -> expose(suspect, worker, candidates.isSole()));
        }
        Set<StepState> steps = candidates.suspects().stream()
                .map(suspect -> suspect.task().step)
                .collect(Collectors.toSet());
        if (!worker.answered) {
            // First polled after the break, which may have been long ago.
            return;
        }
        boolean closed = worker.brokenOff && !worker.entry.draining();
        breaks.add(new Break(worker.address(), worker.entry.rack(), nowMs, !worker.trial.isEmpty(), closed, steps));
        while (breaks.size() > MAX_KEPT || breaks.getFirst().atMs() < nowMs - PROOF_TIMEOUT_MS) {
            breaks.removeFirst();
        }
    }

    /** How to start tasks, as workers were lost lately that had just started some. */
    Caution caution(long nowMs) {
        int crashes = 0;
        long lastMs = Long.MIN_VALUE;
        for (Break lost : breaks) {
            if (lost.isUnderStarts() && nowMs - lost.atMs() < CAUTION_MS) {
                crashes += lastMs == Long.MIN_VALUE || lost.atMs() - lastMs > SAME_MOMENT_MS ? 1 : 0;
                lastMs = lost.atMs();
            }
        }
        return Caution.after(crashes, nowMs < reportsNeededUntilMs, delays.boundMs());
    }

    private void expose(Suspect suspect, WorkerState worker, boolean alone) {
        TaskState task = suspect.task();
        CrashRecord record = task.crashRecord();
        if (task.step.job.isUnfinished() && !record.isExposed(suspect.attempt())) {
            record.expose(new Exposure(suspect.attempt(), List.of(worker.place()), alone));
            task.step.hasCrashRecords = true;
            dirty.add(task.step.job);
        }
    }

    /** A run that was exposed is running: its worker had not crashed. */
    void onPresent(RunState run) {
        TaskState task = run.task;
        if (task != null && task.crashRecord().isExposed(run.run.attempt()) && run.worker.trial.isEmpty()) {
            task.crashRecord().endExposure();
            dirty.add(task.step.job);
        }
    }

    /** A worker is lost with these runs, which have not been ended yet. */
    void onLost(WorkerState worker, List<RunState> runs, long nowMs) {
        if (worker.entry.draining() || runs.isEmpty()) {
            return;
        }
        long atMs = worker.brokenAtMs >= 0 ? worker.brokenAtMs : nowMs;
        CrashSuspects candidates = worker.brokenAtMs >= 0 && !worker.brokenOff
                ? CrashSuspects.unreportedSince(runs, worker.lastAnswerMs, atMs)
                : CrashSuspects.of(runs, atMs);
        boolean conclusive = worker.brokenOff && !candidates.hasUnknown();
        if (candidates.suspects().isEmpty() && !candidates.hasUnknown()) {
            // An owner that is short of processor time notices a crash late, so that the run seems older.
            candidates = CrashSuspects.unreported(runs, atMs);
            conclusive = false;
        }
        candidates = candidates.withoutProven();
        int youngCount = candidates.suspects().size();
        if (worker.brokenOff) {
            runs.stream()
                    .filter(run -> run.task != null && run.hasSurvivedStart(atMs))
                    .forEach(run -> run.task.onSurvivedStart());
            candidates = candidates.narrowed(delays);
            // Beside other causes, a run that was left out may be to blame, or none.
            boolean leftOut = candidates.suspects().size() < youngCount;
            conclusive &= candidates.agreesWith(delays) && !(leftOut && hasOtherCauses(nowMs));
        }
        List<Suspect> suspects = candidates.suspects();
        int bystanders = runs.size() - suspects.size();
        Loss loss = new Loss(
                worker.entry,
                worker.bootWallMs,
                atMs,
                conclusive,
                suspects,
                bystanders,
                worker.brokenAtMs >= 0 && !worker.brokenOff,
                !worker.trial.isEmpty() && !candidates.hasUnknown(),
                nowMs + PROOF_TIMEOUT_MS);
        unproven.add(loss);
        if (unproven.size() > MAX_KEPT) {
            unproven.remove(0);
        }
        if (worker.brokenOff) {
            // The proof may come after the tasks have been started again.
            suspects.forEach(suspect -> record(suspect, loss, false));
        }
    }

    /** Loaded jobs may have runs of which an earlier owner has not written whether they crashed their workers. */
    void onInherited(Collection<JobState> jobs, long nowMs) {
        Map<Place, List<Suspect>> suspects = new LinkedHashMap<>();
        jobs.stream()
                .flatMap(job -> job.steps.stream())
                .filter(step -> step.hasCrashRecords)
                .forEach(step -> {
                    for (TaskState task : JobState.units(step)) {
                        Exposure exposure = task.crashRecord().exposure();
                        if (exposure != null) {
                            task.crashRecord().awaitOutcome(nowMs + INHERITED_EXPOSURE_MS);
                            for (Place place : exposure.places()) {
                                suspects.computeIfAbsent(place, ignored -> new ArrayList<>())
                                        .add(new Suspect(
                                                task, exposure.attempt(), exposure.alone() ? 0 : Long.MAX_VALUE));
                            }
                        }
                    }
                });
        suspects.forEach((place, runs) -> {
            WorkerEntry worker = new WorkerEntry(
                    place.worker(),
                    runs.get(0).task().step.job.job.pool(),
                    place.host(),
                    place.port(),
                    "",
                    "",
                    false,
                    -1,
                    place.bootWallMs(),
                    Resources.NONE,
                    List.of());
            boolean conclusive = runs.size() == 1 && runs.get(0).prompt();
            long expiresMs = nowMs + INHERITED_EXPOSURE_MS;
            unproven.add(new Loss(worker, place.bootWallMs(), INHERITED, conclusive, runs, 0, false, false, expiresMs));
        });
    }

    /** Judges the losses that have been proven to be crashes since the last call. */
    void judge(long nowMs, long wallMs) {
        for (Loss loss : List.copyOf(unproven)) {
            if (hasCrashed(loss)) {
                unproven.remove(loss);
                judge(loss, nowMs, wallMs);
            } else if (isAlive(loss) || nowMs > loss.expiresMs()) {
                unproven.remove(loss);
                loss.suspects().forEach(this::onNotCrashed);
            }
        }
        openCases.removeIf(open -> isDecided(open, nowMs, wallMs));
        givenUp.removeIf(job -> openCases.stream()
                .flatMap(open -> open.remaining().stream())
                .noneMatch(suspect -> suspect.task().step.job == job));
    }

    /** The worker of an exposed run is alive, or nothing showed that it had crashed. */
    private void onNotCrashed(Suspect suspect) {
        CrashRecord record = suspect.task().crashRecord();
        if (record.isExposed(suspect.attempt()) && suspect.task().run == null) {
            record.endExposure();
            dirty.add(suspect.task().step.job);
        }
    }

    /** Whether the incarnation that was lost has answered since. */
    private boolean isAlive(Loss loss) {
        WorkerState worker = workers.get(loss.worker().id());
        return worker != null
                && worker.answered
                && worker.lastAnswerMs > loss.atMs()
                && worker.bootWallMs == loss.bootWallMs();
    }

    /** Applies which suspects of a crash have turned out to be innocent; returns whether the rest is decided. */
    private boolean isDecided(OpenCase open, long nowMs, long wallMs) {
        List<Suspect> remaining = open.remaining();
        if (remaining.stream().anyMatch(suspect -> givenUp.contains(suspect.task().step.job))) {
            remaining.stream()
                    .filter(suspect -> suspect.task().step.job.isUnfinished())
                    .forEach(this::excuse);
            return true;
        }
        if (remaining.stream().anyMatch(suspect -> isGone(suspect.task()))) {
            return true;
        }
        remaining.removeIf(
                suspect -> suspect.task().done || !suspect.task().crashRecord().hasCrash(suspect.attempt()));
        if (remaining.isEmpty()) {
            lastOtherCauseMs = nowMs;
            return true;
        }
        if (remaining.size() > 1) {
            return nowMs > open.expiresMs();
        }
        TaskState task = remaining.get(0).task();
        if (open.isClosed() && remaining.get(0).prompt() && task.step.job.isUnfinished()) {
            task.crashRecord().onOthersCleared(remaining.get(0).attempt());
            dirty.add(task.step.job);
            giveUpIfGuilty(task, nowMs, wallMs);
        }
        return true;
    }

    /** A step has crashed the worker of its trial, and so is the likely cause of its earlier crashes too. */
    private void excuseOthers(StepState culprit) {
        openCases.removeIf(open -> {
            List<Suspect> others = open.remaining().stream()
                    .filter(suspect -> suspect.task().step != culprit)
                    .toList();
            if (others.isEmpty() || others.size() == open.remaining().size()) {
                return false;
            }
            others.stream()
                    .filter(suspect -> suspect.task().step.job.isUnfinished())
                    .forEach(this::excuse);
            return true;
        });
    }

    /** The cause of the crash of a suspect's worker was found in another task. */
    private void excuse(Suspect suspect) {
        suspect.task().crashRecord().excuse(suspect.attempt());
        dirty.add(suspect.task().step.job);
    }

    /** Whether it can't be found out any more if the task is to blame, or need not. */
    private static boolean isGone(TaskState task) {
        return !task.done && !task.step.job.isUnfinished();
    }

    private boolean hasCrashed(Loss loss) {
        WorkerEntry lost = loss.worker();
        for (WorkerState worker : workers.values()) {
            WorkerEntry entry = worker.entry;
            if (!worker.answered
                    || worker.lastAnswerMs <= loss.atMs()
                    || entry.port() != lost.port()
                    || !entry.host().equals(lost.host())) {
                continue;
            }
            if (!entry.id().equals(lost.id()) || worker.bootWallMs != loss.bootWallMs()) {
                return true;
            }
        }
        return false;
    }

    private void judge(Loss loss, long nowMs, long wallMs) {
        List<String> lostTogether = lostTogether(loss);
        boolean common = !lostTogether.isEmpty();
        boolean closed = loss.conclusive() && !common;
        boolean sole = closed
                && CrashSuspects.areOfOneStep(loss.suspects())
                && loss.suspects().stream().allMatch(Suspect::prompt);
        if (common || loss.suspects().isEmpty() || loss.atMs() == INHERITED) {
            // Under an earlier owner others may have been lost at the same moment.
            lastOtherCauseMs = nowMs;
        }
        if (loss.silent() && !loss.suspects().isEmpty() && loss.atMs() != INHERITED) {
            reportsNeededUntilMs = nowMs + CAUTION_MS;
        }
        actions.add(new PoolAction.WorkerCrashed(
                loss.worker(),
                loss.suspects().stream().map(Suspect::describe).toList(),
                sole,
                loss.bystanders(),
                lostTogether));
        for (Suspect suspect : loss.suspects()) {
            CrashRecord record = suspect.task().crashRecord();
            if (record.isExposed(suspect.attempt())) {
                record.endExposure();
                dirty.add(suspect.task().step.job);
            }
            if (!hasSurvivedSince(suspect)) {
                record(suspect, loss, sole || isSoleSuspectOfSilence(suspect, loss, common));
            }
        }
        if (loss.onTrial() && !common && CrashSuspects.areOfOneStep(loss.suspects())) {
            excuseOthers(loss.suspects().get(0).task().step);
        }
        openCases.add(new OpenCase(new ArrayList<>(loss.suspects()), closed, nowMs + PROOF_TIMEOUT_MS));
        loss.suspects().forEach(suspect -> giveUpIfGuilty(suspect.task(), nowMs, wallMs));
    }

    /**
     * Whether a worker that went silent was taken down by its trial. The moment of the crash isn't known, so that it
     * takes an earlier trial with the same outcome.
     */
    private static boolean isSoleSuspectOfSilence(Suspect suspect, Loss loss, boolean common) {
        return loss.silent()
                && loss.onTrial()
                && !common
                && loss.suspects().size() == 1
                && suspect.task().crashRecord().unexplained() >= SILENT_CRASHES_BEFORE_SOLE;
    }

    /** Whether a later run of the task has survived its start before the crash was proven. */
    private static boolean hasSurvivedSince(Suspect suspect) {
        RunState run = suspect.task().run;
        return run != null && run.survivalReported && run.run.attempt() > suspect.attempt();
    }

    /** Addresses of workers that were lost at the same moment by the same cause; empty if there was none. */
    private List<String> lostTogether(Loss loss) {
        if (loss.atMs() == INHERITED) {
            return List.of();
        }
        Set<StepState> steps =
                loss.suspects().stream().map(suspect -> suspect.task().step).collect(Collectors.toSet());
        String address = loss.worker().host() + ":" + loss.worker().port();
        List<Break> others = breaks.stream()
                .filter(other -> Math.abs(other.atMs() - loss.atMs()) <= SAME_MOMENT_MS)
                .filter(other -> !other.address().equals(address))
                .filter(other -> !other.onTrial() && other.steps().stream().noneMatch(steps::contains))
                .toList();
        boolean sameRack = others.stream()
                .anyMatch(other -> other.rack().equals(loss.worker().rack()));
        return sameRack || others.size() >= COMMON_CAUSE_WORKERS
                ? others.stream().map(Break::address).toList()
                : List.of();
    }

    private void record(Suspect suspect, Loss loss, boolean sole) {
        TaskState task = suspect.task();
        JobState job = task.step.job;
        if (task.done || !job.isUnfinished()) {
            return;
        }
        String address = loss.worker().host() + ":" + loss.worker().port();
        CrashRecord record = task.crashRecord();
        record.onSuspected(loss.silent());
        if (record.add(new Crash(suspect.attempt(), loss.worker().id(), address, sole, false))) {
            task.step.hasCrashRecords = true;
            dirty.add(job);
        }
    }

    /** Whether workers have crashed for other causes than tasks lately. */
    private boolean hasOtherCauses(long nowMs) {
        return nowMs - lastOtherCauseMs < OTHER_CAUSE_MEMORY_MS;
    }

    private void giveUpIfGuilty(TaskState task, long nowMs, long wallMs) {
        JobState job = task.step.job;
        CrashRecord record = task.crashRecord();
        if (job.isUnfinished() && record.mustBeGivenUp(hasOtherCauses(nowMs))) {
            String crashes = record.describe();
            givenUp.add(job);
            actions.add(new PoolAction.TaskGivenUp(task.name, job.job.queue(), crashes));
            jobEvents.endJob(
                    job,
                    JobPhase.FAILED,
                    wallMs,
                    "task " + task.name + " crashes the workers that start it: " + crashes);
        }
    }
}
