package io.radishspindle.placement.internal;

/** Why an attempt is being stopped. */
enum StopReason {
    CANCELLED("its job was cancelled"),
    URGENT("stopped to free capacity for an urgent task"),
    RECLAIMED("stopped because its team is over its quota and another team under its quota waits"),
    GANG_BROKEN("stopped because another task of the all-at-once job did not run"),
    OVERUSE("stopped because it uses more memory than its worker has left"),
    DUPLICATE("stopped because the task has ended or runs elsewhere"),
    JOB_ENDED("stopped because its job ended");

    private final String text;

    StopReason(String text) {
        this.text = text;
    }

    String text() {
        return text;
    }
}
