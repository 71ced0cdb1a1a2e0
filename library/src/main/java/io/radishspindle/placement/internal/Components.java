package io.radishspindle.placement.internal;

import io.radishspindle.placement.PlacementPolicy;

/** Creates the components of one core and wires them together. Not thread-safe. */
final class Components {
    final Context context;
    final Timers timers = new Timers();
    final WorkerTable workers = new WorkerTable();
    final Queues queues = new Queues();
    final Jobs jobs = new Jobs();
    final Families families = new Families();
    final Ledger ledger;
    final Sizing sizing;
    final AttemptStopper stopper;
    final Explainer explainer;
    final Lifecycle lifecycle;
    final Quarantine quarantine;
    final Placer placer;

    Components(PlacementPolicy policy) {
        context = new Context(policy);
        ledger = new Ledger(context, workers, queues);
        sizing = new Sizing(workers);
        stopper = new AttemptStopper(context, timers);
        explainer = new Explainer(context, workers, queues);
        lifecycle = new Lifecycle(this);
        quarantine = new Quarantine(this);
        placer = new Placer(this);
    }
}
