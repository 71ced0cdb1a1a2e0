package io.radishspindle.pool.prediction;

/** What a prediction is based on, from the widest evidence to the narrowest. */
enum Source {
    /** The declared estimate. */
    ESTIMATE,
    /** Ratio of run time to estimate in the pool. */
    POOL,
    /** Ratio of run time to estimate in the queue. */
    QUEUE,
    /** Ratio of run time to estimate of the image. */
    IMAGE_RATIO,
    /** Run time of the image, whatever the estimate. */
    IMAGE_TIME,
    /** Run times of the ended tasks of the same step. */
    SIBLINGS;

    static final int COUNT = values().length;
}
