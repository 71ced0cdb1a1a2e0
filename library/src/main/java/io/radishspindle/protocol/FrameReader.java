package io.radishspindle.protocol;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/**
 * Splits the bytes of a socket into frames. A frame above the limit is rejected when its length prefix arrives,
 * before its bytes are buffered. Confined to the socket's event loop.
 */
final class FrameReader {
    private final RecordParser parser = RecordParser.newFixed(PeerCodec.LENGTH_BYTES);
    private final Consumer<Frame> onFrame;
    private final Consumer<ProtocolException> onError;
    private int maxBytes = PeerCodec.MAX_HANDSHAKE_BYTES;
    private boolean expectsLength = true;
    private boolean stopped;

    FrameReader(NetSocket socket, Consumer<Frame> onFrame, Consumer<ProtocolException> onError) {
        this.onFrame = onFrame;
        this.onError = onError;
        parser.handler(this::accept);
        socket.handler(parser);
    }

    /** Raises the size limit from handshake frames to full frames; called once the peer is authenticated. */
    void allowFullSizeFrames() {
        maxBytes = PeerCodec.MAX_FRAME_BYTES;
    }

    private void accept(Buffer bytes) {
        if (stopped) {
            return;
        }
        try {
            if (expectsLength) {
                acceptLength(bytes.getInt(0));
            } else {
                acceptFrame(bytes.getBytes());
            }
        } catch (ProtocolException e) {
            stop(e);
        } catch (RuntimeException e) {
            // A frame that decodes but lacks a field, for example a null id, must not throw into the event loop.
            stop(new ProtocolException("frame can't be handled: " + e, e));
        }
    }

    private void stop(ProtocolException e) {
        stopped = true;
        onError.accept(e);
    }

    private void acceptLength(int length) {
        if (length < 1 || length > maxBytes) {
            throw new ProtocolException(
                    "frame of " + Integer.toUnsignedString(length) + " bytes; at most " + maxBytes + " are allowed");
        }
        expectsLength = false;
        parser.fixedSizeMode(length);
    }

    private void acceptFrame(byte[] bytes) {
        expectsLength = true;
        parser.fixedSizeMode(PeerCodec.LENGTH_BYTES);
        Frame frame = PeerCodec.decode(bytes, Frame.class);
        if (frame.version() != Frame.VERSION) {
            throw new ProtocolException(
                    "peer uses protocol version " + frame.version() + ", this VM uses version " + Frame.VERSION);
        }
        onFrame.accept(frame);
    }
}
