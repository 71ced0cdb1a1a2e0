package io.radishspindle.pool.prediction;

/** How the owner of a pool predicts run times. */
public enum RunTimes {
    /** By the declared estimates. */
    DECLARED {
        @Override
        public RunTimePredictor newPredictor() {
            return new DeclaredRunTimes();
        }
    },
    /** By the runs that have ended. */
    LEARNED {
        @Override
        public RunTimePredictor newPredictor() {
            return new LearnedRunTimes();
        }
    };

    /** Creates the predictor of a new owner, without evidence. */
    public abstract RunTimePredictor newPredictor();
}
