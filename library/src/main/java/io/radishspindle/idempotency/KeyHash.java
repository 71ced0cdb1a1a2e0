package io.radishspindle.idempotency;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import io.radishspindle.idempotency.KeyedRequests.KeyedRequest;

/**
 * Hash of service, caller and key. The keys of callers are long and would take most of a bucket; hashes of 128
 * bits don't collide in practice. Immutable and thread-safe.
 */
record KeyHash(long high, long low) {
    static KeyHash of(KeyedRequest request) {
        HashValue128 hash = Hashing.xxh3_128()
                .hashStream()
                .putString(request.service())
                .putString(request.caller())
                .putString(request.key())
                .get();
        return new KeyHash(hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    }

    int bucket(int buckets) {
        return (int) Long.remainderUnsigned(high, buckets);
    }
}
