package io.radishspindle.soak;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Kinds of faults that a run can inject; each lasts for a while and is then healed. */
public enum Fault {
    VM_KILL,
    VM_PAUSE,
    VM_RELEASE,
    VM_WORKER_PARTITION,
    VM_WORKER_ONE_WAY,
    WORKER_VM_ONE_WAY,
    VM_VM_PARTITION,
    /** The data centre falls into two parts; the store is in one of them. */
    SPLIT,
    VM_STORE_PARTITION,
    STORE_OUT,
    STORE_SLOW,
    STORE_LOSES_ANSWERS,
    WORKER_KILL,
    WORKER_PAUSE,
    WORKER_FAILS_ALL,
    NETWORK_SLOW,
    CANCELLATIONS;

    public String title() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static List<Fault> parse(String titles) {
        return Arrays.stream(titles.split(","))
                .map(title -> valueOf(title.toUpperCase(Locale.ROOT).replace('-', '_')))
                .toList();
    }
}
