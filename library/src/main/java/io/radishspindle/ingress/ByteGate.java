package io.radishspindle.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import org.jspecify.annotations.Nullable;

/**
 * First handler of a connection: counts the bytes that arrive and leave, and passes input on in small steps, so that no
 * more than a few requests are decoded ahead of the one that is served. Confined to the event loop of the channel.
 *
 * <p>Invariant: while bytes are held, the channel is not read, so that at most one read is held.
 */
final class ByteGate extends ChannelDuplexHandler {
    /** Input that is decoded at once where a request may end in it; the shortest request has 18 bytes. */
    private static final int STEP_BYTES = 128;

    /** Input of one connection that is processed before others that wait have their turn. */
    private static final int TURN_BYTES = 1_024;

    private final GuardedConnection connection;
    private final ReadPacer pacer;
    private @Nullable ChannelHandlerContext added;
    private @Nullable ByteBuf held;
    /** The channel would be read but for this handler. */
    private boolean stoppedReading;
    /** The channel is to be read once nothing is held. */
    private boolean readPending;

    private boolean passing;
    /** Input of the current turn, which others may wait for. */
    private int turnBytes;

    private boolean awaitsTurn;

    ByteGate(GuardedConnection connection, ReadPacer pacer) {
        this.connection = connection;
        this.pacer = pacer;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        added = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof ByteBuf bytes)) {
            context.fireChannelRead(message);
            return;
        }
        connection.onHeld(bytes.readableBytes());
        held = held == null ? bytes : Unpooled.wrappedBuffer(held, bytes);
        pass(context);
    }

    /** Continues with held input after what the event loop does now, for example writes a response. */
    void passSoon() {
        ChannelHandlerContext context = added;
        if (held != null && context != null) {
            context.executor().execute(() -> passBetweenReads(context));
        }
    }

    /** The HTTP server sends what it has written during a read only once the read is complete. */
    private void passBetweenReads(ChannelHandlerContext context) {
        if (held != null) {
            pass(context);
            context.fireChannelReadComplete();
        }
    }

    private void pass(ChannelHandlerContext context) {
        if (passing) {
            return;
        }
        passing = true;
        turnBytes = 0;
        long startNs = System.nanoTime();
        try {
            while (held != null && mayPass(context)) {
                passStep(context, held);
            }
        } finally {
            passing = false;
            pacer.usedSince(startNs);
        }
        updateReading(context);
    }

    private boolean mayPass(ChannelHandlerContext context) {
        if (connection.isBusy() || isPausedByServer(context)) {
            return false;
        }
        if (pacer.isExhausted() || (pacer.isContended() && turnBytes >= TURN_BYTES)) {
            awaitTurn(context);
            return false;
        }
        return true;
    }

    /** Whether the HTTP server has paused the channel, as a request is paused. */
    private boolean isPausedByServer(ChannelHandlerContext context) {
        return !stoppedReading && !context.channel().config().isAutoRead();
    }

    private void awaitTurn(ChannelHandlerContext context) {
        if (!awaitsTurn) {
            awaitsTurn = true;
            pacer.await(context.executor(), () -> {
                awaitsTurn = false;
                passBetweenReads(context);
            });
        }
    }

    private void passStep(ChannelHandlerContext context, ByteBuf input) {
        int bytes = (int) Math.min(input.readableBytes(), Math.max(STEP_BYTES, connection.remainingBodyBytes()));
        boolean last = bytes == input.readableBytes();
        ByteBuf step = last ? input : input.readRetainedSlice(bytes);
        if (last) {
            held = null;
        }
        turnBytes += bytes;
        connection.onReleased(bytes);
        context.fireChannelRead(step);
    }

    /** Reads the channel only while nothing is held; leaves it alone while the HTTP server has paused it. */
    private void updateReading(ChannelHandlerContext context) {
        ChannelConfig config = context.channel().config();
        if (held != null && config.isAutoRead()) {
            stoppedReading = true;
            config.setAutoRead(false);
        } else if (held == null && stoppedReading) {
            stoppedReading = false;
            config.setAutoRead(true);
        } else if (held == null && readPending) {
            context.read();
        }
        readPending &= held != null;
    }

    @Override
    public void read(ChannelHandlerContext context) {
        if (held == null) {
            context.read();
            return;
        }
        // The HTTP server resumes a paused request; held input comes before what the channel has.
        readPending = true;
        passSoon();
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (!(message instanceof ByteBuf bytes)) {
            context.write(message, promise);
            return;
        }
        int size = bytes.readableBytes();
        connection.onOutput(size);
        context.write(message, promise.unvoid().addListener(sent -> {
            connection.onOutput(-size);
            passSoon();
        }));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connection.closed();
        releaseHeld();
        context.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        connection.closed();
        releaseHeld();
    }

    private void releaseHeld() {
        ByteBuf input = held;
        held = null;
        if (input != null) {
            input.release();
        }
    }
}
