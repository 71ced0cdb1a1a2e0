package io.radishspindle.pool.tenant;

import io.radishspindle.model.Resources;

/** One of the resources that a quota limits. Immutable and thread-safe. */
enum Dimension {
    PROCESSOR {
        @Override
        long of(Resources amount) {
            return amount.milliCores();
        }

        @Override
        int of(Share share) {
            return share.processor();
        }
    },
    MEMORY {
        @Override
        long of(Resources amount) {
            return amount.memoryMib();
        }

        @Override
        int of(Share share) {
            return share.memory();
        }
    },
    ACCELERATORS {
        @Override
        long of(Resources amount) {
            return amount.accelerators();
        }

        @Override
        int of(Share share) {
            return share.accelerators();
        }
    };

    /** The amount of this resource. */
    abstract long of(Resources amount);

    /** The share of this resource, in millionths. */
    abstract int of(Share share);
}
