package io.radishspindle.entry.operator;

import io.radishspindle.config.AuditEntry;
import io.radishspindle.config.ConfigChange;
import io.radishspindle.config.ConfigKey;
import io.radishspindle.config.ConfigService;
import io.radishspindle.config.FleetConfig;
import io.radishspindle.config.FleetException;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.platform.Clock;
import io.vavr.control.Either;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/** Shows and changes the configuration. Belongs to one event loop. */
public final class ConfigRoutes {
    private static final int MAX_BODY_BYTES = 16 * 1024;
    private static final long RETRY_MS = 1_000;

    /** A default with its syntax. */
    private record DefaultRow(String key, String value, String builtIn, String expected) {}

    /** An exception as operators read it. */
    private record ExceptionRow(
            String id,
            String key,
            String value,
            String scope,
            String target,
            String reason,
            String actor,
            String createdAt,
            String endsAt,
            boolean active) {}

    private record Defaults(long revision, List<DefaultRow> defaults) {}

    private record Exceptions(long revision, List<ExceptionRow> exceptions) {}

    private record Whole(
            long revision, List<DefaultRow> defaults, List<ExceptionRow> exceptions, List<AuditEntry> newestChanges) {}

    /** Revision in force at one VM as its last heartbeat said. */
    private record VmRevision(String vm, String dataCentre, Liveness liveness, long revision, boolean behind) {}

    /** @param unreachable VMs whose revision is not known now */
    private record Status(long revision, String answeredBy, List<VmRevision> vms, List<String> unreachable) {}

    private record Changed(long revision, AuditEntry change) {}

    private final Clock clock;
    private final ConfigService config;
    private final Supplier<MembershipView> view;

    public ConfigRoutes(Clock clock, ConfigService config, Supplier<MembershipView> view) {
        this.clock = clock;
        this.config = config;
        this.view = view;
    }

    /** Adds the routes. */
    public void addRoutes(Router router) {
        router.route("/config/*").handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.get("/config").handler(c -> withConfig(c, (context, f) -> Answers.json(context, whole(f))));
        router.get("/config/defaults")
                .handler(c ->
                        withConfig(c, (context, f) -> Answers.json(context, new Defaults(f.revision(), defaults(f)))));
        router.get("/config/exceptions")
                .handler(c -> withConfig(
                        c, (context, f) -> Answers.json(context, new Exceptions(f.revision(), exceptions(f)))));
        router.get("/config/status").handler(this::status);
        router.post("/config/defaults")
                .handler(c -> change(c, ChangeRequest.setDefault(c.body().buffer())));
        router.post("/config/exceptions")
                .handler(c -> change(c, ChangeRequest.addException(c.body().buffer())));
        router.post("/config/exceptions/:id/end")
                .handler(c -> change(
                        c,
                        ChangeRequest.endException(c.pathParam("id"), c.body().buffer())));
    }

    private void withConfig(RoutingContext context, BiConsumer<RoutingContext, FleetConfig> action) {
        config.current()
                .ifPresentOrElse(
                        fleet -> action.accept(context, fleet),
                        () -> Answers.failure(
                                context,
                                Failure.retryable(
                                        ErrorCode.NOT_READY,
                                        "config.read",
                                        "",
                                        "this VM has no configuration yet: neither the store nor a peer has answered",
                                        RETRY_MS)));
    }

    private void change(RoutingContext context, Either<Failure, ConfigChange> change) {
        if (change.isLeft()) {
            Answers.failure(context, change.getLeft());
            return;
        }
        config.change(change.get())
                .onSuccess(result -> result.peek(fleet -> Answers.json(context, changed(fleet, change.get())))
                        .peekLeft(failure -> Answers.failure(context, failure)));
    }

    /** The entry of this change; later changes may be in the same document after a lost answer. */
    private static Changed changed(FleetConfig fleet, ConfigChange change) {
        AuditEntry entry = fleet.audit().stream()
                .filter(e -> e.revision() == change.basedOn() + 1)
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("an accepted change has no audit entry"));
        return new Changed(entry.revision(), entry);
    }

    private Whole whole(FleetConfig fleet) {
        return new Whole(fleet.revision(), defaults(fleet), exceptions(fleet), fleet.audit());
    }

    private static List<DefaultRow> defaults(FleetConfig fleet) {
        return Arrays.stream(ConfigKey.values())
                .map(key -> new DefaultRow(key.text(), fleet.defaultOf(key), key.builtIn(), key.expected()))
                .toList();
    }

    private List<ExceptionRow> exceptions(FleetConfig fleet) {
        return fleet.exceptions().stream().map(this::row).toList();
    }

    private ExceptionRow row(FleetException e) {
        return new ExceptionRow(
                e.id(),
                e.key(),
                e.value(),
                e.scope().name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'),
                e.target(),
                e.reason(),
                e.actor(),
                Instant.ofEpochMilli(e.createdAtMs()).toString(),
                Instant.ofEpochMilli(e.endsAtMs()).toString(),
                e.isActiveAt(clock.wallMs()));
    }

    private void status(RoutingContext context) {
        MembershipView known = view.get();
        long newest = Math.max(
                config.revision(),
                known.entryVms().stream()
                        .mapToLong(MembershipView.EntryVm::configRevision)
                        .max()
                        .orElse(0));
        String self = known.self().id();
        List<VmRevision> vms = known.entryVms().stream()
                .map(vm -> {
                    long revision = vm.id().equals(self) ? config.revision() : vm.configRevision();
                    return new VmRevision(vm.id(), vm.dataCentre(), vm.liveness(), revision, revision < newest);
                })
                .toList();
        Answers.json(context, new Status(newest, self, vms, FleetRoutes.unreachable(known)));
    }
}
