package org.arbutusstack.gateway.config;

import java.util.Optional;

/**
 * A service.
 *
 * @param name the name of the service
 * @param maxConnections the number of connections that one of its runners accepts from all clients together
 * @param healthPath the path of the health check of its backend servers
 * @param engine the specification of its engines; empty for a plain service
 */
public record ServedService(String name, int maxConnections, String healthPath, Optional<EngineSpec> engine) {}
