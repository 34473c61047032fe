package org.arbutusstack.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.arbutusstack.audit.AuditEvent;
import org.arbutusstack.audit.ChainedAuditTrail;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.wire.link.LinkTransport;

/**
 * Holds what the services of both roles use.
 *
 * @param incarnation the name of this run of the process
 * @param clock the clock
 * @param client sends HTTP calls
 * @param store the key-value service
 * @param transport carries links
 * @param metrics the process's metrics
 * @param trail takes what an auditor may ask about
 */
record Platform(
        String incarnation,
        Clock clock,
        HttpClient client,
        KeyValueStore store,
        LinkTransport transport,
        PrometheusRegistry metrics,
        ChainedAuditTrail trail) {

    /** Creates this process's copy of the ticket log, each advance of which is put on record. */
    LogReplica newReplica() {
        LogReplica replica = new LogReplica();
        replica.addListener(state -> trail.record(
                new AuditEvent.TicketInForce(state.sequence(), state.chain().hex())));
        return replica;
    }

    void close() {
        transport.stop();
        client.close();
    }
}
