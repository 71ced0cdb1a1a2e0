package io.radishspindle.ingress;

import io.radishspindle.platform.Clock;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The sum of the memory that callers of one process occupy, over all its ports. Confined to one event loop.
 *
 * <p>Invariant: the sum is that of {@link Occupant#occupiedBytes} of all occupants, and is at most the maximum whenever
 * no occupant is being charged, unless all that exceeds it belongs to occupants that can't give way.
 */
final class MemoryBudget {
    /** Somebody who occupies memory and can be asked to release it. Confined to the event loop of the budget. */
    interface Occupant {
        /** Bytes that are charged to this occupant. */
        long occupiedBytes();

        /** Whether the occupant has begun something, such as a request, that is incomplete. */
        boolean isUnfinished();

        /** Whether the occupant can release memory now; not while the VM works on its request. */
        boolean canGiveWay();

        /** When the occupant last completed a part of what it does. */
        long progressAtMs();

        /** Releases memory: the occupant occupies less than before, or can't give way again. */
        void giveWay(IngressLimit limit);
    }

    private final long maxBytes;
    private final Clock clock;
    private final Set<Occupant> occupants = new LinkedHashSet<>();
    private long occupiedBytes;
    /** An occupant that gives way is charged, too, which must not recurse. */
    private boolean makingRoom;

    /** @param clock the clock by which occupants report their progress */
    MemoryBudget(Clock clock, long maxBytes) {
        this.clock = clock;
        this.maxBytes = maxBytes;
    }

    long maxBytes() {
        return maxBytes;
    }

    long occupiedBytes() {
        return occupiedBytes;
    }

    /** Adds an occupant with what it occupies already. */
    void add(Occupant occupant) {
        if (occupants.add(occupant)) {
            occupiedBytes += occupant.occupiedBytes();
            makeRoom();
        }
    }

    void remove(Occupant occupant) {
        if (occupants.remove(occupant)) {
            occupiedBytes -= occupant.occupiedBytes();
        }
    }

    /** Changes the sum by what an occupant occupies more or, if negative, less; lets occupants give way. */
    void charge(Occupant occupant, long bytes) {
        if (occupants.contains(occupant)) {
            occupiedBytes += bytes;
            makeRoom();
        }
    }

    /** Lets occupants give way for as long as the sum is exceeded. */
    void makeRoom() {
        if (makingRoom) {
            return;
        }
        makingRoom = true;
        try {
            Occupant first = occupiedBytes > maxBytes ? GiveWayOrder.MEMORY.first(occupants, clock.nowMs()) : null;
            while (first != null) {
                first.giveWay(IngressLimit.MEMORY);
                first = occupiedBytes > maxBytes ? GiveWayOrder.MEMORY.first(occupants, clock.nowMs()) : null;
            }
        } finally {
            makingRoom = false;
        }
    }
}
