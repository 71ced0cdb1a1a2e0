package io.radishspindle.error;

/** Error codes, reported to callers and operators; part of the public API, so a code is never renamed. */
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
    INTERNAL,
    /** The job belongs to another tenant. */
    FORBIDDEN
}
