package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.AdvicePolicy;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Holds capacity for gangs that wait, on as many workers as their members need, chosen by the time at which their
 * capacity is expected to be free. Used for one pass; not thread-safe.
 */
final class GangReservation {
    /** Workers in the call that an untried worker waits for. */
    private static final int ASSUMED_CALL_WORKERS = 30;

    /** A place for one member; {@code usableAtMs} allows for a call for advice where the worker is not approved yet. */
    private record Place(WorkerRoom room, long readyAtMs, long usableAtMs) {}

    private static final Comparator<Place> EARLIEST_FIRST = Comparator.comparingLong(Place::usableAtMs);

    private final Placer placer;
    private final long nowMs;

    GangReservation(Placer placer, long nowMs) {
        this.placer = placer;
        this.nowMs = nowMs;
    }

    /** Reserves capacity for all members of a gang; returns false if there are too few workers for them. */
    boolean reserveFor(StepState step) {
        List<Place> places = new ArrayList<>();
        for (WorkerRoom room : placer.rooms()) {
            if (room.usable && placer.mayRun(step, room.worker) && placer.mayBeApproved(step, room.worker)) {
                addPlaces(step, room, places);
            }
        }
        places.sort(EARLIEST_FIRST);
        int members = step.tasks.size();
        if (places.size() < members) {
            return false;
        }
        List<Place> chosen = places.subList(0, members);
        long startMs = ticketsAtMs(step);
        for (Place place : chosen) {
            startMs = Math.max(startMs, place.readyAtMs());
        }
        for (Place place : chosen) {
            place.room().hold(step.spec.reserved(), startMs);
        }
        return true;
    }

    private void addPlaces(StepState step, WorkerRoom room, List<Place> places) {
        int limit = step.spec.maxPerWorker() > 0 ? step.spec.maxPerWorker() : step.tasks.size();
        AdvicePolicy advice = step.job.job.advice();
        long callMs =
                advice == null || step.tickets.containsKey(room.worker.id()) ? 0 : advice.callMs(ASSUMED_CALL_WORKERS);
        for (int count = 1; count <= limit; count++) {
            Resources amount = step.spec.reserved().times(count);
            if (!amount.fitsIn(room.worker.entry.capacity())) {
                return;
            }
            long readyAtMs = room.readyAtMs(amount, nowMs);
            if (readyAtMs == ExpectedEnds.NEVER) {
                return;
            }
            places.add(new Place(room, readyAtMs, Math.max(readyAtMs, nowMs + callMs)));
        }
    }

    /** Earliest time at which the step has tickets. */
    private long ticketsAtMs(StepState step) {
        boolean hasTicket = step.job.job.advice() == null
                || step.tickets.values().stream().anyMatch(ticket -> ticket.validUntilMs() > nowMs);
        return hasTicket ? nowMs : Math.max(nowMs, step.adviceDueMs);
    }
}
