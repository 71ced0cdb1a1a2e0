package io.radishspindle.pool.model;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The workers that crashed under a task, as they are stored, so that the count survives the loss of every VM. Immutable
 * and thread-safe.
 *
 * @param task index of the task; a gang counts as its first task
 * @param crashes at most one for each attempt
 * @param exposure a run whose outcome is open; null if there is none
 */
public record TaskCrashes(int task, List<Crash> crashes, @Nullable Exposure exposure) {
    public TaskCrashes {
        crashes = List.copyOf(crashes);
    }

    /**
     * A crash of a worker.
     *
     * @param address host and port of the worker
     * @param sole whether no other run and no other cause can be to blame
     * @param explained whether another task was found to have caused the crash; false in what earlier releases have
     *     written
     */
    public record Crash(int attempt, String worker, String address, boolean sole, boolean explained) {}

    /**
     * A run that crashes its workers or survives its start: a trial that is planned, or a run whose worker may have
     * crashed.
     *
     * @param places one for each task of a gang
     * @param alone whether nothing else can be to blame if a worker crashes
     */
    public record Exposure(int attempt, List<Place> places, boolean alone) {
        public Exposure {
            places = List.copyOf(places);
        }
    }

    /**
     * One incarnation of a worker at its address.
     *
     * @param bootWallMs Unix milliseconds at which the worker started; 0 if unknown
     */
    public record Place(String worker, String host, int port, long bootWallMs) {}
}
