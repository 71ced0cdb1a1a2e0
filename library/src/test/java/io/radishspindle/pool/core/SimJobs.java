package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.StepSpec;
import java.util.List;

/** Jobs for tests. Stateless; thread-safe. */
final class SimJobs {
    private SimJobs() {}

    static StepSpec step(int count, long milliCores, int accelerators, long estimateMs, Integer... after) {
        return new StepSpec(
                count,
                new Resources(milliCores, 100, accelerators),
                estimateMs,
                List.of(after),
                true,
                false,
                false,
                "",
                "",
                0,
                false,
                false,
                "",
                0,
                false,
                0);
    }

    static StepSpec gang(int count, long milliCores, int accelerators, long estimateMs) {
        return new StepSpec(
                count,
                new Resources(milliCores, 100, accelerators),
                estimateMs,
                List.of(),
                true,
                true,
                false,
                "",
                "",
                0,
                false,
                false,
                "",
                0,
                false,
                0);
    }

    static StepSpec serving(int count, long milliCores) {
        return new StepSpec(
                count,
                new Resources(milliCores, 100, 0),
                400,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                true,
                "image",
                50,
                false,
                1);
    }

    static StepSpec filling(int count, long milliCores, long estimateMs) {
        return new StepSpec(
                count,
                new Resources(milliCores, 100, 0),
                estimateMs,
                List.of(),
                true,
                false,
                false,
                "",
                "",
                0,
                false,
                false,
                "",
                0,
                true,
                0);
    }

    static PoolJob job(String id, int priority, long acceptedMs, StepSpec... steps) {
        return new PoolJob(
                id, "q" + priority, "pool", "payload", List.of(steps), 1, 0, 0, acceptedMs, priority, 3, 2, 400, null);
    }
}
