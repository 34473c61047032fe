package org.arbutusstack.daemon;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.arbutusstack.entry.EntryIdentity;
import org.arbutusstack.entry.EntrySettings;
import org.arbutusstack.entry.audit.AnchorService;
import org.arbutusstack.entry.caller.CallerLimits;
import org.arbutusstack.entry.caller.CallerListener;
import org.arbutusstack.entry.member.HostListService;
import org.arbutusstack.entry.member.MemberMetrics;
import org.arbutusstack.entry.member.PeerService;
import org.arbutusstack.entry.plan.PackingCheck;
import org.arbutusstack.entry.plan.PlanRegistry;
import org.arbutusstack.entry.plan.PlannerCandidates;
import org.arbutusstack.entry.plan.PlannerService;
import org.arbutusstack.entry.plan.PlannerSettings;
import org.arbutusstack.entry.plan.PlannerTiming;
import org.arbutusstack.entry.router.RouterLimits;
import org.arbutusstack.entry.router.RouterMetrics;
import org.arbutusstack.entry.router.RouterService;
import org.arbutusstack.entry.router.RouterSettings;
import org.arbutusstack.entry.ticket.LogFollowerService;
import org.arbutusstack.entry.ticket.OperatorDirectory;
import org.arbutusstack.entry.ticket.OperatorListener;
import org.arbutusstack.entry.ticket.TicketMetrics;
import org.arbutusstack.entry.ticket.TicketService;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.service.ServiceRegistry;
import org.arbutusstack.kernel.setting.Setting;
import org.arbutusstack.kernel.setting.Settings;
import org.arbutusstack.ledger.LogCompactor;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.ledger.ReferenceCheck;
import org.arbutusstack.ledger.TicketCheck;
import org.arbutusstack.ledger.TicketHistory;
import org.arbutusstack.ledger.TicketLog;
import org.arbutusstack.placement.CopyPlanner;
import org.arbutusstack.placement.PlacementPolicy;
import org.arbutusstack.routing.RoutingPolicy;
import org.arbutusstack.side.EngineContract;
import org.arbutusstack.side.SideIdentity;
import org.arbutusstack.side.SideService;
import org.arbutusstack.side.SideSettings;

/** Role of a process. Each constant creates and registers the services of its role. */
enum Role {

    /** Accepts requests from callers and operators and forwards them to the sides. */
    ENTRY {
        @Override
        void register(ServiceRegistry registry, Settings settings, ProcessContext context) {
            EntryIdentity identity = new EntryIdentity(
                    settings.text(DaemonSettings.NAME), settings.text(DaemonSettings.ZONE), context.incarnation());
            LogReplica replica = context.newReplica();
            PlanRegistry plans = new PlanRegistry();
            RouterMetrics metrics = new RouterMetrics(context.metrics());
            RouterService router = new RouterService(
                    identity,
                    context.transport(),
                    replica,
                    plans,
                    RoutingPolicy.valueOf(settings.text(RouterSettings.ROUTING_POLICY))
                            .selector(identity.zone(), context.clock().nowNanos()),
                    context.clock(),
                    RouterLimits.of(settings),
                    metrics,
                    context.trail());
            List<TicketCheck> checks = List.of(new ReferenceCheck(), new PackingCheck(router));
            TicketLog log = new TicketLog(context.store(), replica, checks, context.clock());
            MemberMetrics memberMetrics = new MemberMetrics(context.metrics());
            PeerService peers = new PeerService(
                    identity,
                    new InetSocketAddress(
                            settings.text(DaemonSettings.ADDRESS), (int) settings.number(DaemonSettings.LINK_PORT)),
                    context.transport(),
                    replica,
                    context.clock(),
                    (int) settings.number(EntrySettings.RELAYS_PER_ZONE),
                    memberMetrics);
            registry.register(router);
            PlannerCandidates candidates = new PlannerCandidates();
            PlacementPolicy policy = PlacementPolicy.valueOf(settings.text(PlannerSettings.PLACEMENT_POLICY));
            registry.register(peers);
            registry.register(new LogFollowerService(context.store(), replica, context.clock(), peers::isRelay));
            registry.register(new TicketService(
                    log,
                    new LogCompactor(context.store(), replica, context.clock()),
                    new TicketHistory(context.store(), replica, context.clock()),
                    new TicketMetrics(context.metrics(), replica),
                    context.clock(),
                    context.trail()));
            registry.register(new PlannerService(
                    identity,
                    context.store(),
                    replica,
                    plans,
                    router,
                    candidates,
                    new CopyPlanner(policy, PlannerSettings.placementWeights(settings)),
                    PlannerTiming.of(settings),
                    context.clock(),
                    context.metrics()));
            registry.register(new HostListService(
                    context.client(),
                    HttpTarget.parse(settings.text(DaemonSettings.HOST_LIST)),
                    context.clock(),
                    host -> router.acknowledgements().isLinked(host.name())
                            || peers.peerNames().contains(host.name()),
                    peers,
                    settings.number(EntrySettings.HOST_LIST_PERIOD),
                    memberMetrics,
                    hosts -> {
                        router.hostsChanged(hosts);
                        candidates.hostsChanged(hosts);
                        peers.hostsChanged(hosts);
                    }));
            registerListeners(registry, settings, context, identity, replica, metrics);
        }

        private void registerListeners(
                ServiceRegistry registry,
                Settings settings,
                ProcessContext context,
                EntryIdentity identity,
                LogReplica replica,
                RouterMetrics metrics) {
            RouterService router = registry.lookup(RouterService.NAME, RouterService.class);
            TicketService tickets = registry.lookup(TicketService.NAME, TicketService.class);
            String address = settings.text(DaemonSettings.ADDRESS);
            CallerListener callers = new CallerListener(
                    address,
                    (int) settings.number(EntrySettings.CALLER_PORT),
                    CallerLimits.of(settings),
                    identity.incarnation(),
                    router,
                    replica,
                    metrics,
                    context.clock());
            AnchorService anchors = new AnchorService(context.store(), context.clock());
            registry.register(anchors);
            registry.register(new AdminListener(
                    address,
                    (int) settings.number(DaemonSettings.ADMIN_PORT),
                    context.metrics(),
                    callers::isReady,
                    router::stateDump));
            registry.register(new OperatorListener(
                    address,
                    (int) settings.number(EntrySettings.OPERATOR_PORT),
                    identity,
                    OperatorDirectory.parse(settings.text(EntrySettings.OPERATORS)),
                    tickets,
                    anchors,
                    router,
                    replica,
                    context.clock(),
                    context.trail()));
            registry.register(callers);
        }

        @Override
        List<Setting> requiredSettings() {
            return List.of(DaemonSettings.HOST_LIST, EntrySettings.OPERATORS);
        }

        @Override
        List<String> validateRoleSettings(Settings settings) {
            List<String> mistakes = new ArrayList<>();
            try {
                OperatorDirectory.parse(settings.text(EntrySettings.OPERATORS));
            } catch (IllegalArgumentException mistake) {
                mistakes.add("--operators (ARBUTUS_OPERATORS): " + mistake.getMessage());
            }
            try {
                PlacementPolicy.valueOf(settings.text(PlannerSettings.PLACEMENT_POLICY));
            } catch (IllegalArgumentException unknown) {
                mistakes.add("--placement-policy (ARBUTUS_PLACEMENT_POLICY): value '"
                        + settings.text(PlannerSettings.PLACEMENT_POLICY) + "', permitted: "
                        + List.of(PlacementPolicy.values()));
            }
            String policy = settings.text(RouterSettings.ROUTING_POLICY);
            if (Arrays.stream(RoutingPolicy.values())
                    .noneMatch(known -> known.name().equals(policy))) {
                mistakes.add("--routing-policy (ARBUTUS_ROUTING_POLICY): value '" + policy + "', permitted: "
                        + Arrays.toString(RoutingPolicy.values()));
            }
            long neededMillis = CallerLimits.of(settings).maxDrainMillis();
            if (settings.number(DaemonSettings.DRAIN) < neededMillis) {
                mistakes.add("--drain-millis (ARBUTUS_DRAIN_MILLIS): value '" + settings.number(DaemonSettings.DRAIN)
                        + "', permitted: at least longest-deadline-millis and drain-notice-millis, " + neededMillis);
            }
            return mistakes;
        }
    },

    /** Runs next to one backend server and sends it the requests that entries forward. */
    SIDE {
        @Override
        void register(ServiceRegistry registry, Settings settings, ProcessContext context) {
            SideIdentity identity = new SideIdentity(
                    settings.text(DaemonSettings.NAME),
                    settings.text(SideSettings.SERVICE),
                    settings.text(DaemonSettings.ZONE),
                    context.incarnation(),
                    HttpTarget.parse(settings.text(SideSettings.BACKEND)));
            String address = settings.text(DaemonSettings.ADDRESS);
            SideService side = new SideService(
                    identity,
                    new InetSocketAddress(address, (int) settings.number(DaemonSettings.LINK_PORT)),
                    context.transport(),
                    context.client(),
                    context.store(),
                    context.newReplica(),
                    context.clock(),
                    SideSettings.workLimits(settings),
                    EngineContract.of(settings),
                    SideSettings.claimLimits(settings),
                    context.metrics(),
                    context.trail());
            registry.register(side);
            registry.register(new AdminListener(
                    address,
                    (int) settings.number(DaemonSettings.ADMIN_PORT),
                    context.metrics(),
                    side::isReady,
                    side::stateDump));
        }

        @Override
        List<Setting> requiredSettings() {
            return List.of(SideSettings.SERVICE, SideSettings.BACKEND);
        }
    };

    /**
     * Register the services of the role in the order in which they start.
     *
     * @param registry the registry to add the services to
     * @param settings the settings, already validated
     * @param context the components that both roles share
     */
    abstract void register(ServiceRegistry registry, Settings settings, ProcessContext context);

    /**
     * Return the settings that are required for this role but optional for the other.
     *
     * @return the settings that must not be blank
     */
    abstract List<Setting> requiredSettings();

    /** Return one message for each setting that is missing or invalid for this role. */
    List<String> validate(Settings settings) {
        List<String> mistakes = new ArrayList<>();
        for (Setting setting : requiredSettings()) {
            if (settings.text(setting).isBlank()) {
                mistakes.add("--" + setting.name() + " (" + setting.variable() + "): value '', permitted: required for "
                        + name().toLowerCase(Locale.ROOT));
            }
        }
        if (mistakes.isEmpty()) {
            mistakes.addAll(validateRoleSettings(settings));
        }
        return mistakes;
    }

    /**
     * Validate the constraints that are specific to the role, such as relations between settings.
     *
     * @param settings the settings, each of which is within its own permitted values
     * @return one message for each violated constraint
     */
    List<String> validateRoleSettings(Settings settings) {
        return List.of();
    }
}
