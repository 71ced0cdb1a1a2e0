package io.radishspindle.pool.runtime;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HexFormat;

/** Layout of the keys that the entry VMs keep in the shared store. Stateless; thread-safe. */
final class StoreKeys {
    private static final String ROOT = "radishspindle/";
    /** Prefix of the members, owners and slice counts, which every VM watches. */
    static final String CONTROL = ROOT + "control/";

    /** Prefix of the division of the tenants' quotas, which owners watch. */
    static final String QUOTA = ROOT + "quota/";
    /** Key of the shares of all slices in the quotas of all tenants. */
    static final String QUOTA_SHARES = QUOTA + "shares";

    private static final String REGISTRATIONS = ROOT + "jobs/";
    private static final String MEMBERS = CONTROL + "members/";
    private static final String OWNERS = CONTROL + "owners/";
    private static final String SLICES = CONTROL + "slices/";
    private static final String QUEUES = CONTROL + "queues/";
    /** Hexadecimal digits of the hash of a queue's address. */
    private static final int QUEUE_HASH_DIGITS = 16;

    private StoreKeys() {}

    static String member(String vmId) {
        return MEMBERS + vmId;
    }

    static String owner(String pool) {
        return OWNERS + pool;
    }

    static boolean isMember(String key) {
        return key.startsWith(MEMBERS);
    }

    static String memberId(String key) {
        return key.substring(MEMBERS.length());
    }

    static boolean isOwner(String key) {
        return key.startsWith(OWNERS);
    }

    static String ownedPool(String key) {
        return key.substring(OWNERS.length());
    }

    /** Key of the number of slices of a pool, which is written once. */
    static String slices(String pool) {
        return SLICES + pool;
    }

    static boolean isSlices(String key) {
        return key.startsWith(SLICES);
    }

    static String slicedPool(String key) {
        return key.substring(SLICES.length());
    }

    /** Key that marks a slice as one that has got jobs of the queue with an address; written once. */
    static String queueSlice(String address, String slice) {
        return QUEUES + queueHash(address) + "/" + slice;
    }

    /** Hash of a queue's address, which may be longer than a key. */
    static String queueHash(String address) {
        return HexFormat.of().toHexDigits(Hashing.wyhashFinal4().hashCharsToLong(address));
    }

    static boolean isQueueSlice(String key) {
        return key.startsWith(QUEUES);
    }

    static String queueHashOf(String key) {
        return key.substring(QUEUES.length(), QUEUES.length() + QUEUE_HASH_DIGITS);
    }

    static String sliceOfQueue(String key) {
        return key.substring(QUEUES.length() + QUEUE_HASH_DIGITS + 1);
    }

    /** Key that registers the id of a job; it does not depend on the configuration. */
    static String registration(String jobId) {
        return REGISTRATIONS + jobId;
    }

    static boolean isRegistration(String key) {
        return key.startsWith(REGISTRATIONS);
    }

    /** Prefix of the jobs and cancellations of a pool, which its owner watches. */
    static String intake(String pool) {
        return ROOT + "intake/" + pool + "/";
    }

    static String job(String pool, String jobId) {
        return intake(pool) + "job/" + jobId;
    }

    static String cancellation(String pool, String jobId) {
        return intake(pool) + "cancel/" + jobId;
    }

    static boolean isCancellation(String pool, String key) {
        return key.startsWith(intake(pool) + "cancel/");
    }

    static String lastPart(String key) {
        return key.substring(key.lastIndexOf('/') + 1);
    }

    /** Key of what the owner of a pool has learned about run times, written by the owner only. */
    static String runTimes(String pool) {
        return ROOT + "run-times/" + pool;
    }

    /** Prefix of the records of the claims on a pool, of which its owner removes those of earlier owners. */
    static String claims(String pool) {
        return ROOT + "claims/" + pool + "/";
    }

    static String claim(String pool, String vmId, String boot) {
        return claims(pool) + vmId + "~" + boot;
    }

    /** Prefix of the workers that have answered an owner of a pool, written by its owner only. */
    static String workers(String pool) {
        return ROOT + "workers/" + pool + "/";
    }

    /** Prefix of the progress of a pool's jobs, written by its owner only. */
    static String allProgress(String pool) {
        return ROOT + "progress/" + pool + "/";
    }

    static String progress(String pool, String jobId) {
        return allProgress(pool) + jobId;
    }
}
