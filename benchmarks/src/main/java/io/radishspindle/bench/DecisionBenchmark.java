package io.radishspindle.bench;

import io.radishspindle.model.TaskOutcome;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.placement.FairSharePlacement;
import io.radishspindle.placement.GroupPlacement;
import io.radishspindle.placement.PlacementAction;
import io.radishspindle.placement.PlacementEvent;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** The cost of one decision on a full group with a backlog: a task ends, others start in its place. */
@State(Scope.Thread)
@BenchmarkMode({Mode.AverageTime, Mode.SampleTime})
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
@Fork(1)
public class DecisionBenchmark {
    private static final int BACKLOG = 10_000;
    private static final long SEED = 1;

    /** Which cell the group belongs to. */
    @Param({"TODAY", "TWO_YEAR"})
    public String size = "TODAY";

    private ClusterSize cluster = ClusterSize.TODAY;
    private List<WorkerInfo> workers = List.of();
    private GroupPlacement core = Contender.FAIR_SHARE.create(SEED, workers);
    private List<PlacementAction.StartTask> running = new ArrayList<>();
    private Draw draw = new Draw(SEED);
    private Workload workload = new Workload(cluster, cluster.workersOf(0), SEED);
    private long nowMs;
    private long left;

    /** Fills the group and its queue. */
    @Setup
    public void fill() {
        cluster = ClusterSize.valueOf(size);
        workers = cluster.workersOf(0);
        workload = new Workload(cluster, workers, SEED);
        draw = new Draw(SEED);
        core = new FairSharePlacement(SEED, Contender.policy(workers));
        running = new ArrayList<>();
        core.handle(nowMs, new PlacementEvent.AuthorityChanged(true, 1));
        workers.forEach(worker -> core.handle(nowMs, new PlacementEvent.WorkerClaimed(worker, List.of())));
        left = 0;
        refill();
        tick();
    }

    private void refill() {
        while (left < BACKLOG) {
            for (GeneratedJob job : workload.backlog(1)) {
                if (core.check(job.spec()).isRight()) {
                    core.handle(nowMs, new PlacementEvent.JobAccepted(job.spec()));
                    left++;
                }
            }
        }
    }

    private void tick() {
        for (PlacementAction action : core.handle(nowMs, new PlacementEvent.Tick())) {
            if (action instanceof PlacementAction.StartTask start) {
                running.add(start);
                left--;
            }
        }
    }

    /** One task ends; the pass that follows starts what fits; the backlog stays at its size. */
    @Benchmark
    public int decide() {
        nowMs += 20;
        int at = draw.below(running.size());
        PlacementAction.StartTask ended = running.set(at, running.get(running.size() - 1));
        running.remove(running.size() - 1);
        core.handle(nowMs, new PlacementEvent.TaskEnded(ended.attempt(), ended.workerId(), TaskOutcome.SUCCEEDED, ""));
        tick();
        refill();
        return running.size();
    }
}
