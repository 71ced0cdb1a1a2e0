package io.radishspindle.demo;

import io.radishspindle.model.JobClass;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** The jobs of a demonstration. Stateless. */
final class JobLoad {
    /** How a job must end. */
    enum Expected {
        SUCCEEDED,
        /** All replicas run until the job is cancelled. */
        KEPT_RUNNING,
        FAILED,
        /** Never accepted, because no worker could hold it. */
        REFUSED
    }

    /** A job as it is submitted; {@code key} makes its submission repeatable. */
    record Job(String key, JobClass jobClass, int tasks, Expected expected, JsonObject body) {}

    private JobLoad() {}

    /** Jobs of all four classes, in an order that the seed decides. */
    static List<Job> mixed(long seed, int batchJobs) {
        Random random = new Random(seed);
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < batchJobs; i++) {
            jobs.add(job("batch-" + i, JobClass.BATCH, 1 + random.nextInt(4), 2_000, 0, 1_000 + random.nextInt(3_000)));
        }
        for (int i = 0; i < 8; i++) {
            jobs.add(job("urgent-" + i, JobClass.URGENT, 1, 1_000, 0, 300));
        }
        for (int i = 0; i < 4; i++) {
            jobs.add(job("gang-" + i, JobClass.ALL_AT_ONCE, 3, 4_000, i % 2, 1_500));
        }
        for (int i = 0; i < 3; i++) {
            jobs.add(service("service-" + i));
        }
        Collections.shuffle(jobs, random);
        jobs.add(failing("failing"));
        jobs.add(neverFits("never-fits"));
        return jobs;
    }

    static Job job(String key, JobClass jobClass, int tasks, int milliCores, int accelerators, long runMs) {
        JsonObject body = body(key, jobClass, tasks, milliCores, accelerators, runMs);
        body.getJsonObject("parameters").put("runMs", Long.toString(runMs));
        return new Job(key, jobClass, tasks, Expected.SUCCEEDED, body);
    }

    static Job service(String key) {
        JsonObject body = body(key, JobClass.SERVICE, 2, 1_000, 0, 3_600_000);
        body.getJsonObject("parameters").put("runMs", "forever");
        return new Job(key, JobClass.SERVICE, 2, Expected.KEPT_RUNNING, body);
    }

    private static Job failing(String key) {
        JsonObject body = body(key, JobClass.BATCH, 1, 500, 0, 200);
        body.getJsonObject("parameters").put("fail", "true");
        body.put("maxAttempts", 2);
        return new Job(key, JobClass.BATCH, 1, Expected.FAILED, body);
    }

    private static Job neverFits(String key) {
        return new Job(key, JobClass.BATCH, 1, Expected.REFUSED, body(key, JobClass.BATCH, 1, 900_000, 0, 200));
    }

    private static JsonObject body(
            String key, JobClass jobClass, int tasks, int milliCores, int accelerators, long expectedRunMs) {
        JsonObject perTask = new JsonObject()
                .put("milliCores", milliCores)
                .put("memoryMib", 512)
                .put("accelerators", accelerators);
        return new JsonObject()
                .put("team", "team-" + Math.floorMod(key.hashCode(), 3))
                .put("family", key.replaceAll("-?[0-9]+$", ""))
                .put("jobClass", jobClass.name())
                .put("tasks", tasks)
                .put("perTask", perTask)
                .put("expectedRunMs", expectedRunMs)
                .put("maxAttempts", 5)
                .put("parameters", new JsonObject());
    }
}
