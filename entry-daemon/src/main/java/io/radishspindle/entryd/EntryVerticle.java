package io.radishspindle.entryd;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.entry.EntryVm;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.settings.EntrySettings;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import org.jspecify.annotations.Nullable;

/** Runs one entry VM on its event loop; undeploying stops it gracefully. */
final class EntryVerticle extends VerticleBase {
    private final EntrySettings settings;
    private @Nullable EntryVm entryVm;

    EntryVerticle(EntrySettings settings) {
        this.settings = settings;
    }

    @Override
    public Future<?> start() {
        EntryVm vm = new EntryVm(vertx, new SystemClock(), settings, new MetricRegistry());
        entryVm = vm;
        return vm.start();
    }

    @Override
    public Future<?> stop() {
        return entryVm == null ? Future.succeededFuture() : entryVm.stop();
    }
}
