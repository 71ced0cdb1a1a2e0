package io.radishspindle.pool.runtime;

import java.util.ArrayList;
import java.util.List;

/** A link whose bandwidth all transfers in progress share equally. Not thread-safe. */
final class SharedLink {
    /** One transfer; it may be given up before it ends. */
    final class Transfer {
        private final Runnable onEnd;
        private double remainingBytes;

        private Transfer(double bytes, Runnable onEnd) {
            remainingBytes = bytes;
            this.onEnd = onEnd;
        }

        void giveUp() {
            advance();
            transfers.remove(this);
            scheduleNextEnd();
        }
    }

    private final SimulatedTime time;
    private final double bytesPerMs;
    private final List<Transfer> transfers = new ArrayList<>();
    private long advancedToMs;
    private long nextEnd;
    private double carriedBytes;

    SharedLink(SimulatedTime time, double mbitPerSecond) {
        this.time = time;
        bytesPerMs = mbitPerSecond * 125;
    }

    Transfer transfer(long bytes, Runnable onEnd) {
        advance();
        Transfer added = new Transfer(bytes, onEnd);
        transfers.add(added);
        scheduleNextEnd();
        return added;
    }

    /** Bytes that have crossed the link, also those of transfers that were given up. */
    double carriedBytes() {
        advance();
        return carriedBytes;
    }

    private void advance() {
        double share = transfers.isEmpty() ? 0 : (time.nowMs() - advancedToMs) * bytesPerMs / transfers.size();
        for (Transfer transfer : transfers) {
            carriedBytes += Math.min(share, transfer.remainingBytes);
            transfer.remainingBytes -= share;
        }
        advancedToMs = time.nowMs();
    }

    private void scheduleNextEnd() {
        time.cancel(nextEnd);
        transfers.stream()
                .mapToDouble(transfer -> transfer.remainingBytes)
                .min()
                .ifPresent(least -> {
                    long delayMs = (long) Math.ceil(Math.max(0, least) * transfers.size() / bytesPerMs);
                    nextEnd = time.after(delayMs, this::onEnd);
                });
    }

    private void onEnd() {
        advance();
        List<Transfer> ended = transfers.stream()
                .filter(transfer -> transfer.remainingBytes <= 0)
                .toList();
        transfers.removeAll(ended);
        scheduleNextEnd();
        ended.forEach(transfer -> transfer.onEnd.run());
    }
}
