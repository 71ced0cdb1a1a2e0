package io.radishspindle.config;

/**
 * One accepted change. Immutable and thread-safe.
 *
 * @param revision revision that the change produced
 * @param changeId unique id of the change, by which its writer finds it after a lost answer
 * @param atMs wall-clock time in milliseconds since the Unix epoch, by the VM that wrote the change
 * @param vm entry VM that wrote the change
 * @param action what was changed, in one line
 * @param before value before the change; empty if there was none
 */
public record AuditEntry(
        long revision,
        String changeId,
        long atMs,
        String vm,
        String actor,
        String action,
        String before,
        String reason) {

    /** Names the change in an error message. */
    public String describe() {
        return "change " + revision + " by " + actor + " (" + action + ", reason: " + reason + ")";
    }
}
