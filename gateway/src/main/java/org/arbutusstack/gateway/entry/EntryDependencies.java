package org.arbutusstack.gateway.entry;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.arbutusstack.gateway.request.CallerPort;
import org.arbutusstack.gateway.request.RetryLimits;
import org.arbutusstack.gateway.request.RunnerPort;
import org.arbutusstack.http.loop.IoLoop;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.wire.link.LinkTransport;

/**
 * Holds what an entry is built from.
 *
 * @param name the entry's name
 * @param address the IP number of its host
 * @param zone its availability zone
 * @param sidePort where sides accept links
 * @param entryPort where entries accept links
 * @param loop the loop on which it serves
 * @param transport opens and accepts links
 * @param store the key-value service
 * @param runners sends work to runners
 * @param callers writes to callers
 * @param retries bounds retries
 * @param clock the clock of the process
 * @param metrics the process's metrics
 */
public record EntryDependencies(
        String name,
        String address,
        String zone,
        int sidePort,
        int entryPort,
        IoLoop loop,
        LinkTransport transport,
        KeyValueStore store,
        RunnerPort runners,
        CallerPort callers,
        RetryLimits retries,
        Clock clock,
        PrometheusRegistry metrics) {}
