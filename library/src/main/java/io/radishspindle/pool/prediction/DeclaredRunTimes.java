package io.radishspindle.pool.prediction;

/** Takes the declared estimates as run times and learns nothing. Stateless; thread-safe. */
public final class DeclaredRunTimes implements RunTimePredictor {
    @Override
    public double expectedMs(RunKind kind) {
        return kind.estimateMs();
    }

    @Override
    public double quantileMs(RunKind kind, double probability) {
        return kind.estimateMs();
    }

    @Override
    public double expectedRestMs(RunKind kind, double elapsedMs) {
        return Math.max(0, kind.estimateMs() - elapsedMs);
    }

    @Override
    public double probabilityOfEnd(RunKind kind, double elapsedMs, double withinMs) {
        return elapsedMs + withinMs >= kind.estimateMs() ? 1 : 0;
    }

    @Override
    public double confidence(RunKind kind) {
        return 0;
    }

    @Override
    public boolean isLearning() {
        return false;
    }

    @Override
    public void onEnded(RunKind kind, double ranMs) {
        // declared run times don't change
    }

    @Override
    public void onStopped(RunKind kind, double ranMs) {
        // declared run times don't change
    }
}
