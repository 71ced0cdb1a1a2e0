package io.radishspindle.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.idempotency.KeyedRequests.BeginResult;
import io.radishspindle.idempotency.KeyedRequests.Claim;
import io.radishspindle.idempotency.KeyedRequests.KeyedRequest;
import io.radishspindle.idempotency.KeyedRequests.StoredAnswer;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Keyed requests against a store that loses answers, in virtual time. */
class StoreKeyedRequestsTest {
    private static final KeyedRequest ORDER = new KeyedRequest("layout", "shop", "order-1", 42);

    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time, RandomSource.SPLIT_MIX_64.create(1));

    private StoreKeyedRequests vm() {
        return new StoreKeyedRequests(
                new BucketWriter.Environment(store, time, time, Runnable::run, 3_600_000), StoreKeyedRequests.BUCKETS);
    }

    private Either<Failure, BeginResult> begin(StoreKeyedRequests vm, KeyedRequest request) {
        Future<Either<Failure, BeginResult>> future = vm.begin(request, time.nowMs() + 10_000);
        time.run(10_000);
        return future.result();
    }

    private Claim granted(StoreKeyedRequests vm, KeyedRequest request) {
        return ((BeginResult.Granted) begin(vm, request).get()).claim();
    }

    private static StoredAnswer answer(int status) {
        return new StoredAnswer(status, List.of(), Buffer.buffer("order 1 accepted"));
    }

    @Test
    void should_grant_a_key_once_across_vms() {
        // given
        granted(vm(), ORDER);
        // when
        Either<Failure, BeginResult> repeat = begin(vm(), ORDER);
        // then
        assertThat(repeat.get()).isInstanceOf(BeginResult.Unresolved.class);
    }

    @Test
    void should_answer_repeat_with_first_status_at_another_vm_and_with_stored_answer_at_the_same() {
        // given
        StoreKeyedRequests first = vm();
        first.complete(granted(first, ORDER), answer(201));
        time.run(1_000);
        // then
        assertThat(((BeginResult.Finished) begin(vm(), ORDER).get()).status()).isEqualTo(201);
        assertThat(((BeginResult.Finished) begin(first, ORDER).get()).answer()).contains(answer(201));
    }

    @Test
    void should_grant_again_after_release_but_not_after_outcome() {
        // given
        StoreKeyedRequests first = vm();
        Claim claim = granted(first, ORDER);
        first.release(claim);
        time.run(1_000);
        // when
        Claim second = granted(vm(), ORDER);
        first.release(claim);
        time.run(1_000);
        // then
        assertThat(second.claimId()).isNotEqualTo(claim.claimId());
        assertThat(begin(vm(), ORDER).get()).isInstanceOf(BeginResult.Unresolved.class);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void should_reject_key_that_was_used_for_another_request(boolean sameVm) {
        // given
        StoreKeyedRequests first = vm();
        first.complete(granted(first, ORDER), answer(201));
        time.run(1_000);
        // when
        KeyedRequest other = new KeyedRequest("layout", "shop", "order-1", 43);
        Either<Failure, BeginResult> result = begin(sameVm ? first : vm(), other);
        // then
        assertThat(result.getLeft().code()).isEqualTo(ErrorCode.CONFLICT);
    }

    @Test
    void should_refuse_within_two_seconds_without_store_and_free_the_key_afterwards() {
        // given
        StoreKeyedRequests vm = vm();
        store.down = true;
        Future<Either<Failure, BeginResult>> refused = vm.begin(ORDER, time.nowMs() + 60_000);
        // when
        time.run(2_100);
        // then
        assertThat(refused.result().getLeft().code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
        assertThat(refused.result().getLeft().notRun()).isTrue();
        store.down = false;
        time.run(5_000);
        assertThat(begin(vm, ORDER).get()).isInstanceOf(BeginResult.Granted.class);
    }

    @Test
    void should_forget_records_after_retention() {
        // given
        granted(vm(), ORDER);
        // when
        time.run(3_600_001);
        // then
        assertThat(begin(vm(), ORDER).get()).isInstanceOf(BeginResult.Granted.class);
    }

    /** Guards against a lost answer or a delayed write after which two VMs both get the claim of a key. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void should_never_grant_a_key_twice_when_answers_are_lost(long seed) {
        // when
        Claims claims = runWithFaults(seed, false);
        // then
        assertThat(claims.mostOpenOfOneKey).isEqualTo(1);
        assertThat(claims.granted).isGreaterThanOrEqualTo(20);
    }

    /** Shows that the check of the previous test detects a key that is granted twice. */
    @Test
    void should_detect_double_grants_when_compare_and_swap_is_off() {
        // when
        Claims claims = runWithFaults(1, true);
        // then
        assertThat(claims.mostOpenOfOneKey).isGreaterThan(1);
    }

    private Claims runWithFaults(long seed, boolean ignoreVersions) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        FakeStore faulty = new FakeStore(time, random);
        faulty.loseAnswer = 0.2;
        faulty.loseRequest = 0.05;
        faulty.delay = 0.1;
        faulty.ignoreVersions = ignoreVersions;
        List<StoreKeyedRequests> vms = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            vms.add(new StoreKeyedRequests(
                    new BucketWriter.Environment(faulty, time, time, Runnable::run, 3_600_000), 2));
        }
        Claims claims = new Claims();
        for (int i = 0; i < 300; i++) {
            StoreKeyedRequests vm = vms.get(random.nextInt(vms.size()));
            String key = "key-" + random.nextInt(40);
            int use = random.nextInt(3);
            vm.begin(new KeyedRequest("layout", "shop", key, 1), time.nowMs() + 5_000)
                    .onSuccess(result -> claims.begun(vm, key, result, use));
            time.run(random.nextInt(60));
        }
        time.run(120_000);
        return claims;
    }

    /** Claims as seen by the senders: a key is open from its grant on, unless the claim is released. */
    private static final class Claims {
        private final Map<String, Integer> open = new HashMap<>();
        int granted;
        int mostOpenOfOneKey;

        void begun(StoreKeyedRequests vm, String key, Either<Failure, BeginResult> result, int use) {
            if (result.isLeft() || !(result.get() instanceof BeginResult.Granted grant)) {
                return;
            }
            granted++;
            mostOpenOfOneKey = Math.max(mostOpenOfOneKey, open.merge(key, 1, Integer::sum));
            if (use == 0) {
                open.merge(key, -1, Integer::sum);
                vm.release(grant.claim());
            } else if (use == 1) {
                vm.complete(grant.claim(), answer(200));
            }
        }
    }

    @Test
    void should_write_fewer_times_than_once_per_request_when_requests_share_a_bucket() {
        // given
        StoreKeyedRequests vm =
                new StoreKeyedRequests(new BucketWriter.Environment(store, time, time, Runnable::run, 3_600_000), 1);
        // when
        for (int i = 0; i < 100; i++) {
            vm.begin(new KeyedRequest("layout", "shop", "order-" + i, 1), time.nowMs() + 5_000);
            time.run(1);
        }
        time.run(1_000);
        // then
        assertThat(store.writes).isLessThanOrEqualTo(20);
    }
}
