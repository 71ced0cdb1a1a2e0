package io.radishspindle.idempotency;

/** Creates {@link StoreKeyedRequests} that run in virtual time. */
public final class VirtualKeyedRequests {
    private VirtualKeyedRequests() {}

    public static KeyedRequests create(VirtualTime time, FakeStore store) {
        return new StoreKeyedRequests(
                new BucketWriter.Environment(store, time, time, Runnable::run, 3_600_000), StoreKeyedRequests.BUCKETS);
    }
}
