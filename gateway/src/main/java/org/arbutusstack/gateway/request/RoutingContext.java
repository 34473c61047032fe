package org.arbutusstack.gateway.request;

import org.arbutusstack.gateway.runner.RunnerTable;
import org.arbutusstack.gateway.stream.StreamOrigins;
import org.arbutusstack.kernel.Assert;

/**
 * What the choice of a runner depends on besides the request.
 *
 * @param runners the known runners
 * @param zones the choice of availability zones; its home zone is preferred among equal runners
 * @param origins the versions at which streams have begun
 */
public record RoutingContext(RunnerTable runners, ZoneCandidates zones, StreamOrigins origins) {

    /** Check the components. */
    public RoutingContext {
        Assert.notNull(runners, "runners");
        Assert.notNull(zones, "zones");
        Assert.notNull(origins, "origins");
    }
}
