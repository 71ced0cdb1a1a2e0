package io.radishspindle.model;

/** The scheduling class of a job; each class has its own placement policy. */
public enum JobClass {
    /** Must start within 1.7 s; batch tasks are stopped to make room if needed. */
    URGENT,
    /** Long-running replicas that are kept up and spread over racks. */
    SERVICE,
    /** A gang of tasks that start together or not at all. */
    ALL_AT_ONCE,
    /** Fills gaps; may be checkpointed, throttled or stopped for urgent work. */
    BATCH
}
