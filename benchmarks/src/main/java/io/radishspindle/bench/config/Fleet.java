package io.radishspindle.bench.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Where VMs and the store are, with one-way delays. Immutable and thread-safe.
 *
 * @param dataCentres data centres of each region; the store is in the first region
 * @param vmsPerDataCentre entry VMs of a data centre
 */
record Fleet(List<Integer> dataCentres, int vmsPerDataCentre) {
    private static final long NEAR_MS = 1;
    private static final long FAR_MS = 8;

    /** 28 entry VMs in 7 data centres and 3 regions. */
    static final Fleet TWO_YEARS = new Fleet(List.of(3, 2, 2), 4);

    /** One data centre; region 0 holds the store. */
    record DataCentre(int region) {
        long delayToStoreMs() {
            return region == 0 ? NEAR_MS : FAR_MS;
        }

        boolean isRemote() {
            return region != 0;
        }
    }

    List<DataCentre> all() {
        List<DataCentre> all = new ArrayList<>();
        for (int region = 0; region < dataCentres.size(); region++) {
            for (int i = 0; i < dataCentres.get(region); i++) {
                all.add(new DataCentre(region));
            }
        }
        return all;
    }

    int vms() {
        return all().size() * vmsPerDataCentre;
    }

    static long insideMs() {
        return NEAR_MS;
    }
}
