package io.radishspindle.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against two VMs that both count a majority. */
class QuorumTest {
    private static final Set<String> FIVE = Set.of("1", "2", "3", "4", "5");

    @Test
    void should_count_from_the_oldest_vote_of_the_newest_majority() {
        long since = Quorum.majoritySince(List.of(FIVE), id -> Long.parseLong(id) * 100);

        assertThat(since).isEqualTo(300);
    }

    @Test
    void should_need_a_majority_of_both_sets() {
        long since = Quorum.majoritySince(
                List.of(FIVE, Set.of("6", "7", "8")), id -> Integer.parseInt(id) <= 6 ? 100 : Quorum.NEVER);

        assertThat(since).isEqualTo(Quorum.NEVER);
    }

    @Test
    void should_not_find_a_majority_of_nothing() {
        assertThat(Quorum.majoritySince(List.of(Set.of()), id -> 100)).isEqualTo(Quorum.NEVER);
    }

    @Property(seed = "7", tries = 300)
    void should_never_give_a_majority_to_two_sides(
            @ForAll @Size(min = 1, max = 9) Set<@IntRange(max = 50) Integer> workers,
            @ForAll Set<@IntRange(max = 50) Integer> side) {
        Set<String> all = new HashSet<>();
        workers.forEach(worker -> all.add(worker.toString()));
        long one = Quorum.majoritySince(List.of(all), id -> side.contains(Integer.valueOf(id)) ? 1 : Quorum.NEVER);
        long other = Quorum.majoritySince(List.of(all), id -> side.contains(Integer.valueOf(id)) ? Quorum.NEVER : 1);

        assertThat(one == 1 && other == 1).isFalse();
    }
}
