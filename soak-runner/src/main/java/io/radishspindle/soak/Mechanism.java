package io.radishspindle.soak;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Safety mechanisms that a run can turn off to show which failure each of them prevents. */
public enum Mechanism {
    /** The worker refuses messages of an epoch or term that is not the highest. */
    EPOCH,
    /** The worker accepts starts only while its control lease is valid. */
    CONTROL_LEASE,
    /** Leases are counted from the echoed worker time instead of the arrival of the message. */
    ECHOED_TIME,
    /** Tasks of unknown state wait after a takeover. */
    OPEN_TASK_WAIT,
    /** Journal writes of an earlier owner fail. */
    JOURNAL_FENCING,
    /** A caretaker needs a majority of workers. */
    CARETAKER_MAJORITY;

    public String title() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static List<String> titles() {
        return Arrays.stream(values()).map(Mechanism::title).toList();
    }

    static Mechanism of(String title) {
        return valueOf(title.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
