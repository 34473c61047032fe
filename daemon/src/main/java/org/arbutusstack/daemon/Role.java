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

/** Tells what a process does; each constant registers its services. */
enum Role {

    /** Stands between callers, operators and the sides. */
    ENTRY {
        @Override
        void register(ServiceRegistry registry, Settings settings, Platform platform) {
            EntryIdentity identity = new EntryIdentity(
                    settings.text(DaemonSettings.NAME), settings.text(DaemonSettings.ZONE), platform.incarnation());
            LogReplica replica = platform.newReplica();
            PlanRegistry plans = new PlanRegistry();
            RouterMetrics metrics = new RouterMetrics(platform.metrics());
            RouterService router = new RouterService(
                    identity,
                    platform.transport(),
                    replica,
                    plans,
                    RoutingPolicy.valueOf(settings.text(RouterSettings.ROUTING_POLICY))
                            .selector(identity.zone(), platform.clock().nowNanos()),
                    platform.clock(),
                    RouterLimits.of(settings),
                    metrics,
                    platform.trail());
            List<TicketCheck> checks = List.of(new ReferenceCheck(), new PackingCheck(router));
            TicketLog log = new TicketLog(platform.store(), replica, checks, platform.clock());
            MemberMetrics memberMetrics = new MemberMetrics(platform.metrics());
            PeerService peers = new PeerService(
                    identity,
                    new InetSocketAddress(
                            settings.text(DaemonSettings.ADDRESS), (int) settings.number(DaemonSettings.LINK_PORT)),
                    platform.transport(),
                    replica,
                    platform.clock(),
                    (int) settings.number(EntrySettings.RELAYS_PER_ZONE),
                    memberMetrics);
            registry.register(router);
            PlannerCandidates roster = new PlannerCandidates();
            PlacementPolicy policy = PlacementPolicy.valueOf(settings.text(PlannerSettings.PLACEMENT_POLICY));
            registry.register(peers);
            registry.register(new LogFollowerService(platform.store(), replica, platform.clock(), peers::isRelay));
            registry.register(new TicketService(
                    log,
                    new LogCompactor(platform.store(), replica, platform.clock()),
                    new TicketHistory(platform.store(), replica, platform.clock()),
                    new TicketMetrics(platform.metrics(), replica),
                    platform.clock(),
                    platform.trail()));
            registry.register(new PlannerService(
                    identity,
                    platform.store(),
                    replica,
                    plans,
                    router,
                    roster,
                    new CopyPlanner(policy, PlannerSettings.placementWeights(settings)),
                    PlannerTiming.of(settings),
                    platform.clock(),
                    platform.metrics()));
            registry.register(new HostListService(
                    platform.client(),
                    HttpTarget.parse(settings.text(DaemonSettings.HOST_LIST)),
                    platform.clock(),
                    host -> router.acknowledgements().isLinked(host.name())
                            || peers.peerNames().contains(host.name()),
                    peers,
                    settings.number(EntrySettings.HOST_LIST_PERIOD),
                    memberMetrics,
                    hosts -> {
                        router.hostsChanged(hosts);
                        roster.hostsChanged(hosts);
                        peers.hostsChanged(hosts);
                    }));
            registerListeners(registry, settings, platform, identity, replica, metrics);
        }

        private void registerListeners(
                ServiceRegistry registry,
                Settings settings,
                Platform platform,
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
                    platform.clock());
            AnchorService anchors = new AnchorService(platform.store(), platform.clock());
            registry.register(anchors);
            registry.register(new AdminListener(
                    address,
                    (int) settings.number(DaemonSettings.ADMIN_PORT),
                    platform.metrics(),
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
                    platform.clock(),
                    platform.trail()));
            registry.register(callers);
        }

        @Override
        List<Setting> required() {
            return List.of(DaemonSettings.HOST_LIST, EntrySettings.OPERATORS);
        }

        @Override
        List<String> malformed(Settings settings) {
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

    /** Stands beside one backend server. */
    SIDE {
        @Override
        void register(ServiceRegistry registry, Settings settings, Platform platform) {
            SideIdentity identity = new SideIdentity(
                    settings.text(DaemonSettings.NAME),
                    settings.text(SideSettings.SERVICE),
                    settings.text(DaemonSettings.ZONE),
                    platform.incarnation(),
                    HttpTarget.parse(settings.text(SideSettings.BACKEND)));
            String address = settings.text(DaemonSettings.ADDRESS);
            SideService side = new SideService(
                    identity,
                    new InetSocketAddress(address, (int) settings.number(DaemonSettings.LINK_PORT)),
                    platform.transport(),
                    platform.client(),
                    platform.store(),
                    platform.newReplica(),
                    platform.clock(),
                    SideSettings.workLimits(settings),
                    EngineContract.of(settings),
                    SideSettings.claimLimits(settings),
                    platform.metrics(),
                    platform.trail());
            registry.register(side);
            registry.register(new AdminListener(
                    address,
                    (int) settings.number(DaemonSettings.ADMIN_PORT),
                    platform.metrics(),
                    side::isReady,
                    side::stateDump));
        }

        @Override
        List<Setting> required() {
            return List.of(SideSettings.SERVICE, SideSettings.BACKEND);
        }
    };

    /**
     * Registers the role's services in the order of their start.
     *
     * @param registry where to register
     * @param settings the checked settings
     * @param platform what both roles use
     */
    abstract void register(ServiceRegistry registry, Settings settings, Platform platform);

    /**
     * Lists the settings that the role needs though the other does not.
     *
     * @return the settings
     */
    abstract List<Setting> required();

    List<String> mistakes(Settings settings) {
        List<String> mistakes = new ArrayList<>();
        for (Setting setting : required()) {
            if (settings.text(setting).isBlank()) {
                mistakes.add("--" + setting.name() + " (" + setting.variable() + "): value '', permitted: required for "
                        + name().toLowerCase(Locale.ROOT));
            }
        }
        if (mistakes.isEmpty()) {
            mistakes.addAll(malformed(settings));
        }
        return mistakes;
    }

    /**
     * Checks what only the role can check.
     *
     * @param settings the settings, each permitted by itself
     * @return one line for each mistake
     */
    List<String> malformed(Settings settings) {
        return List.of();
    }
}
