package io.radishspindle.standin;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards the leases and the size limit of the store stand-in. */
class StoreStateTest {
    private final StoreState state = new StoreState();

    @Test
    void should_delete_the_keys_of_an_expired_lease() {
        // given
        long lease = state.grantLease(0, 100);
        state.put("a", new byte[1], 0, lease);
        assertThat(state.renewLease(50, lease, 100)).isTrue();
        // when
        state.expireLeases(149);
        boolean before = state.get("a").exists();
        state.expireLeases(150);
        // then
        assertThat(before).isTrue();
        assertThat(state.get("a").exists()).isFalse();
        assertThat(state.renewLease(150, lease, 100)).isFalse();
    }

    @Test
    void should_refuse_a_value_over_the_limit() {
        // when
        StoreState.WriteResult result = state.put("a", new byte[StoreState.MAX_VALUE_BYTES + 1], 0, 0);
        // then
        assertThat(result.problem()).contains(StoreState.Problem.TOO_LARGE);
    }
}
