package io.radishspindle.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.model.WorkerInfo;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against a rack whose loss takes a whole group, and against workers that move between groups. */
class WorkerAssignmentTest {
    @Property(seed = "11", tries = 200)
    void should_spread_each_rack_and_never_move_a_worker(
            @ForAll @IntRange(min = 1, max = 12) int racks,
            @ForAll @IntRange(min = 1, max = 5) int perRack,
            @ForAll @IntRange(min = 1, max = 8) int groups,
            @ForAll long seed) {
        // given
        List<WorkerInfo> workers = new ArrayList<>();
        for (int rack = 0; rack < racks; rack++) {
            for (int i = 0; i < perRack; i++) {
                workers.add(new WorkerInfo("w" + rack + "-" + i, "dc", "r" + rack, "", 0, Resources.NONE));
            }
        }
        List<WorkerInfo> shuffled = new ArrayList<>(workers);
        Collections.shuffle(shuffled, new Random(seed));

        // when
        WorkerAssignment all = WorkerAssignment.EMPTY.extend(shuffled, groups, "c");
        WorkerAssignment half = WorkerAssignment.EMPTY.extend(shuffled.subList(0, shuffled.size() / 2), groups, "c");
        WorkerAssignment extended = half.extend(shuffled, groups, "c");

        // then
        assertThat(WorkerAssignment.EMPTY.extend(workers, groups, "c")).isEqualTo(all);
        assertThat(extended.groups()).containsAllEntriesOf(half.groups());
        for (int rack = 0; rack < racks; rack++) {
            String prefix = "w" + rack + "-";
            for (int group = 0; group < groups; group++) {
                long here = all.workersOf(group, workers).stream()
                        .filter(worker -> worker.id().startsWith(prefix))
                        .count();
                assertThat(here).isLessThanOrEqualTo((perRack + groups - 1) / groups);
            }
        }
    }
}
