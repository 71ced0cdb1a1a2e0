package io.radishspindle.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * A process that can die, restart and pause. Not thread-safe. Whatever arrives during a pause is handled on resuming;
 * whatever arrives for an earlier incarnation is dropped.
 */
class Node {
    final String id;
    final Simulation sim;
    private final List<Runnable> backlog = new ArrayList<>();
    private boolean alive = true;
    private boolean paused;
    private long incarnation;

    Node(String id, Simulation sim) {
        this.id = id;
        this.sim = sim;
    }

    boolean isAlive() {
        return alive;
    }

    boolean isPaused() {
        return paused;
    }

    long incarnation() {
        return incarnation;
    }

    /** Runs an action of this incarnation, after the pause if there is one. */
    void run(long ofIncarnation, Runnable action) {
        if (!alive || ofIncarnation != incarnation) {
            return;
        }
        if (paused) {
            backlog.add(() -> run(ofIncarnation, action));
        } else {
            action.run();
        }
    }

    void kill() {
        alive = false;
        paused = false;
        incarnation++;
        backlog.clear();
        sim.note("kill " + id);
    }

    void restart() {
        if (!alive) {
            alive = true;
            sim.note("restart " + id);
        }
    }

    void pause() {
        if (alive && !paused) {
            paused = true;
            sim.note("pause " + id);
        }
    }

    void resume() {
        if (!alive || !paused) {
            return;
        }
        paused = false;
        sim.note("resume " + id);
        List<Runnable> waiting = List.copyOf(backlog);
        backlog.clear();
        waiting.forEach(Runnable::run);
    }
}
