package org.arbutusstack.gateway.entry;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.OptionalLong;
import org.arbutusstack.gateway.pressure.Backpressure;
import org.arbutusstack.gateway.quarantine.LivenessProbe;
import org.arbutusstack.gateway.request.CallerPort;
import org.arbutusstack.gateway.request.RetryLimits;
import org.arbutusstack.gateway.request.RunnerPort;
import org.arbutusstack.http.loop.IoLoop;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.wire.link.LinkTransport;

/**
 * Settings and collaborators of an entry.
 *
 * @param name the name of the entry
 * @param address the IP address of its host
 * @param zone its availability zone
 * @param zonePenaltyMillis the delay that a request takes to stay in its zone, in milliseconds; zero to choose runners
 *     without regard to zones
 * @param sidePort the port on which sides accept links
 * @param entryPort the port on which entries accept links
 * @param loop the event loop of the entry
 * @param transport opens and accepts links
 * @param store the key-value store
 * @param runners sends requests to runners
 * @param probe finds out whether backend servers still run
 * @param callers writes answers and refusals to callers
 * @param retries the limits on retries
 * @param promptHoldMillis the longest time that a prompt is held so that streams keep their target gap, in
 * milliseconds;     zero for never
 * @param revokeMillis the time after which a withdrawn key of a team may no longer be accepted, in milliseconds; empty
 *     for no limit
 * @param backpressure the bounds on what is held for slow callers and slow runners
 * @param clock the clock of the process
 * @param metrics the metrics registry of the process
 */
public record EntryDependencies(
        String name,
        String address,
        String zone,
        long zonePenaltyMillis,
        int sidePort,
        int entryPort,
        IoLoop loop,
        LinkTransport transport,
        KeyValueStore store,
        RunnerPort runners,
        LivenessProbe probe,
        CallerPort callers,
        RetryLimits retries,
        long promptHoldMillis,
        OptionalLong revokeMillis,
        Backpressure backpressure,
        Clock clock,
        PrometheusRegistry metrics) {}
