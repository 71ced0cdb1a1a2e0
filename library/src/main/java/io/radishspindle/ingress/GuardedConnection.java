package io.radishspindle.ingress;

import io.netty.channel.Channel;
import io.radishspindle.ingress.IngressLog.Action;
import io.radishspindle.platform.Clock;
import org.jspecify.annotations.Nullable;

/**
 * What one connection of a caller occupies, and until when the caller has to complete what it has begun. {@link
 * ByteGate} and {@link MessageObserver} report what they see. Confined to the event loop of its channel.
 *
 * <p>A connection is idle, then receives a header, then a body, is served, and idle again once its response has been
 * sent. A request whose response is sent before its body has ended is refused: the rest of the body is discarded.
 *
 * <p>Invariants: a connection whose request is served neither gives way nor has further input decoded, unless its
 * responses are not read; {@code headBytes} is 0 while a body is received; {@code occupied} is the sum of what is
 * charged for the connection, its input, its requests and its output, and is what the budget has been charged; nothing
 * is charged after {@link #closed}.
 */
final class GuardedConnection implements MemoryBudget.Occupant {
    /** Heap of an open connection, and its receive buffer. */
    static final int CONNECTION_BYTES = 16 * 1024;
    /** Heap of a request until its response has been sent. */
    static final int REQUEST_BYTES = 8 * 1024;
    /** Heap for each byte of a header; a header line of four bytes takes two hundred. */
    static final int HEAP_PER_HEAD_BYTE = 50;
    /** Heap for each byte of a body: its buffer with the spare half, the decoded body, what is sent to the store. */
    static final int HEAP_PER_BODY_BYTE = 8;
    /** Unsent output at which no further request is taken from a connection. */
    private static final int MAX_UNSENT_BYTES = 8 * 1024;
    /** Time in which a response can reach its caller, however full the memory is. */
    private static final long MIN_SENDING_MS = 1_000;
    /** Part of a body that counts as progress. */
    private static final int PROGRESS_BYTES = 16 * 1024;

    private final Clock clock;
    private final Channel channel;
    private final CallerAddress address;
    private final IngressTimeouts timeouts;
    private final MemoryBudget budget;
    private final IngressLog log;
    /** Charged for requests without a response; released when there are none. */
    private long requestCharge;
    /** Charged for the body that is being received or served. */
    private long bodyCharge;

    private long headBytes;
    private long unsentBytes;
    private long bodyBytes;
    private long remainingBodyBytes;
    private int openRequests;
    private boolean receivingBody;
    /** The request is being refused, but the response is not written yet. */
    private boolean refusing;

    private boolean refused;
    /** The caller has been refused, and its connection is closed once it has the response. */
    private boolean closeAfterResponse;

    private boolean closed;
    private long progressAtMs;
    private long deadlineMs;
    private IngressLimit deadlineLimit = IngressLimit.IDLE_TIME;
    private long occupied = CONNECTION_BYTES;
    private @Nullable Runnable refuse;

    GuardedConnection(
            Clock clock, Channel channel, int port, IngressTimeouts timeouts, MemoryBudget budget, IngressLog log) {
        this.clock = clock;
        this.channel = channel;
        address = CallerAddress.of(channel, port);
        this.timeouts = timeouts;
        this.budget = budget;
        this.log = log;
        progressAtMs = clock.nowMs();
        becomeIdle();
    }

    CallerAddress address() {
        return address;
    }

    boolean isClosed() {
        return closed;
    }

    @Override
    public long occupiedBytes() {
        return occupied;
    }

    @Override
    public boolean isUnfinished() {
        return receivingBody || refused || headBytes > 0 || unsentBytes > 0;
    }

    @Override
    public boolean canGiveWay() {
        boolean sending = unsentBytes > 0 && clock.nowMs() - progressAtMs < MIN_SENDING_MS;
        boolean served = (servedRequests() > 0 || sending) && unsentBytes <= MAX_UNSENT_BYTES;
        return !closed && !served && !refusing;
    }

    @Override
    public long progressAtMs() {
        return progressAtMs;
    }

    @Override
    public void giveWay(IngressLimit limit) {
        Runnable action = refuse;
        boolean canRefuse = action != null && receivingBody && !refused && limit != IngressLimit.CONNECTIONS;
        log.reached(limit, canRefuse ? Action.REFUSED : Action.CLOSED, this, budget, clock.nowMs());
        if (action != null && canRefuse) {
            refuse = null;
            closeAfterResponse = true;
            refusing = true;
            releaseBody();
            action.run();
        } else {
            close();
        }
    }

    /** Whether further input has to wait, as the VM works on a request or its responses are unsent. */
    boolean isBusy() {
        return closed || servedRequests() > 0 || unsentBytes > MAX_UNSENT_BYTES;
    }

    /** Requests without a response whose bodies are complete. */
    private int servedRequests() {
        return receivingBody && !refused ? openRequests - 1 : openRequests;
    }

    /** Sets what refuses the request whose body is being received; the connection is closed if there is nothing. */
    void onGiveWay(@Nullable Runnable action) {
        refuse = action;
    }

    /** Reports a limit for which the application refuses the request whose body is being received. */
    void refusedFor(IngressLimit limit) {
        refuse = null;
        closeAfterResponse = true;
        refusing = true;
        releaseBody();
        log.reached(limit, Action.REFUSED, this, budget, clock.nowMs());
    }

    /** Bytes have arrived and wait to be decoded. */
    void onHeld(long bytes) {
        charge(bytes);
    }

    /** Bytes that were held are about to be decoded. */
    void onReleased(long bytes) {
        charge(-bytes);
        if (!receivingBody && openRequests == 0) {
            if (headBytes == 0) {
                awaitUntil(timeouts.headerMs(), IngressLimit.HEADER_TIME);
            }
            headBytes += bytes;
            charge(bytes * HEAP_PER_HEAD_BYTE);
        }
    }

    /**
     * The header of a request is complete.
     *
     * @param contentLength announced length of its body; 0 if it has none or announces none
     */
    void onRequest(long contentLength) {
        remainingBodyBytes = Math.max(0, contentLength);
        requestCharge += REQUEST_BYTES + headBytes * HEAP_PER_HEAD_BYTE;
        headBytes = 0;
        openRequests++;
        receivingBody = true;
        refused = false;
        bodyBytes = 0;
        onProgress();
        awaitUntil(timeouts.bodyMs(), IngressLimit.BODY_TIME);
        charge(REQUEST_BYTES);
    }

    /** Bytes in which no further request can begin; 0 if the length of the body is unknown. */
    long remainingBodyBytes() {
        return remainingBodyBytes;
    }

    void onBody(int bytes) {
        remainingBodyBytes = Math.max(0, remainingBodyBytes - bytes);
        if (refused || refusing || bytes == 0) {
            return;
        }
        if (bodyBytes / PROGRESS_BYTES < (bodyBytes + bytes) / PROGRESS_BYTES) {
            onProgress();
        }
        bodyBytes += bytes;
        bodyCharge += (long) bytes * HEAP_PER_BODY_BYTE;
        charge((long) bytes * HEAP_PER_BODY_BYTE);
    }

    /** The body of a request is complete. */
    void onRequestEnd() {
        receivingBody = false;
        refuse = null;
        onProgress();
        if (openRequests == 0) {
            refused = false;
            becomeIdle();
        } else {
            deadlineMs = Long.MAX_VALUE;
        }
        closeIfDone();
    }

    /** The response of the oldest open request has been written, though not necessarily sent. */
    void onResponse() {
        refusing = false;
        openRequests = Math.max(0, openRequests - 1);
        if (openRequests > 0) {
            // A later request, whose body is being received, may give way from now on.
            budget.makeRoom();
            return;
        }
        onProgress();
        charge(-requestCharge);
        requestCharge = 0;
        releaseBody();
        refuse = null;
        if (receivingBody) {
            refused = true;
            awaitUntil(timeouts.discardMs(), IngressLimit.DISCARD_TIME);
        } else if (unsentBytes > 0) {
            awaitUntil(timeouts.responseMs(), IngressLimit.RESPONSE_TIME);
        } else {
            becomeIdle();
        }
        closeIfDone();
    }

    /** Output was handed to the channel, or was sent if {@code bytes} is negative. */
    void onOutput(int bytes) {
        boolean wasEmpty = unsentBytes == 0;
        unsentBytes += bytes;
        charge(bytes);
        if (unsentBytes == 0 && !wasEmpty && openRequests == 0 && !receivingBody) {
            onProgress();
            becomeIdle();
            closeIfDone();
        }
    }

    private void closeIfDone() {
        if (closeAfterResponse && openRequests == 0 && !receivingBody && unsentBytes == 0) {
            close();
        }
    }

    /** Closes the connection, or refuses its request, if it has not completed a part in time. */
    void checkDeadline(long nowMs) {
        if (!closed && !refusing && nowMs >= deadlineMs) {
            giveWay(deadlineLimit);
        }
    }

    void close() {
        closed();
        channel.close();
    }

    /** The channel is closed: nothing is occupied any more. */
    void closed() {
        if (!closed) {
            closed = true;
            refuse = null;
            budget.remove(this);
        }
    }

    private void becomeIdle() {
        awaitUntil(timeouts.idleMs(), IngressLimit.IDLE_TIME);
    }

    private void awaitUntil(long timeoutMs, IngressLimit limit) {
        deadlineMs = clock.nowMs() + timeoutMs;
        deadlineLimit = limit;
    }

    private void onProgress() {
        progressAtMs = clock.nowMs();
    }

    private void releaseBody() {
        charge(-bodyCharge);
        bodyCharge = 0;
    }

    private void charge(long bytes) {
        if (!closed) {
            occupied += bytes;
            budget.charge(this, bytes);
        }
    }
}
