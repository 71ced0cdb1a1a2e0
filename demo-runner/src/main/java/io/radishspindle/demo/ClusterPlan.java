package io.radishspindle.demo;

import java.util.List;

/** What a cluster on loopback consists of. Immutable and thread-safe. */
public record ClusterPlan(List<DataCentre> dataCentres) {
    /** Services, each with the same number of endpoints in every data centre. */
    public static final List<String> SERVICES = List.of("layout", "preview");

    /** Racks of each data centre, so that the loss of one leaves a majority of each group. */
    static final int RACKS = 3;

    /**
     * One data centre.
     *
     * @param workers workers without accelerators; the first one is a process of its own, so that it can be killed
     * @param acceleratorWorkers workers with accelerators
     * @param endpoints endpoints of each service
     */
    public record DataCentre(
            String name, String region, int entryVms, int workers, int acceleratorWorkers, int endpoints) {}

    /** Three data centres in two regions. */
    public static ClusterPlan full() {
        return new ClusterPlan(List.of(
                new DataCentre("seoul", "capital", 3, 5, 2, 3),
                new DataCentre("incheon", "capital", 2, 4, 2, 2),
                new DataCentre("busan", "south", 2, 4, 2, 2)));
    }

    /** One data centre, for tests. */
    public static ClusterPlan small() {
        return new ClusterPlan(List.of(new DataCentre("seoul", "capital", 3, 5, 1, 2)));
    }
}
