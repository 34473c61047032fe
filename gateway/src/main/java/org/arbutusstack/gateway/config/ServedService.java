package org.arbutusstack.gateway.config;

import java.util.Optional;

/**
 * Describes a service.
 *
 * @param name the service's name
 * @param mostConnections the connections that one of its runners accepts from all callers together
 * @param engine its engines; empty for a plain service
 */
public record ServedService(String name, int mostConnections, Optional<EngineSpec> engine) {}
