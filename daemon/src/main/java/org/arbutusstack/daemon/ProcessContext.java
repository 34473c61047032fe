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
 * Components of one process that the services of both roles share.
 *
 * @param incarnation the unique name of this run of the process
 * @param clock the clock of all services
 * @param client the HTTP client
 * @param store the client of the key-value service
 * @param transport the transport of the links between processes
 * @param metrics the metrics registry of the process
 * @param trail the audit trail
 */
record ProcessContext(
        String incarnation,
        Clock clock,
        HttpClient client,
        KeyValueStore store,
        LinkTransport transport,
        PrometheusRegistry metrics,
        ChainedAuditTrail trail) {

    /** Create a replica of the ticket log that records each change of its state in the audit trail. */
    LogReplica newReplica() {
        LogReplica replica = new LogReplica();
        replica.addListener(state -> trail.record(
                new AuditEvent.TicketInForce(state.sequence(), state.chain().hex())));
        return replica;
    }

    /** Close the transport and the HTTP client; called after all services have stopped. */
    void close() {
        transport.stop();
        client.close();
    }
}
