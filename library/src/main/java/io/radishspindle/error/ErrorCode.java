package io.radishspindle.error;

/** Stable codes of errors, as shown to callers and operators. */
public enum ErrorCode {
    INVALID_REQUEST,
    NOT_FOUND,
    CONFLICT,
    NEVER_FITS,
    QUOTA_EXCEEDED,
    OVERLOADED,
    DEADLINE_EXCEEDED,
    STORE_UNAVAILABLE,
    NO_OWNER,
    PEER_UNREACHABLE,
    PEER_REFUSED,
    OUTCOME_UNKNOWN,
    SHUTTING_DOWN,
    NOT_READY,
    PROTOCOL_ERROR,
    INTERNAL
}
