package org.arbutusstack.gateway.agent;

import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import org.arbutusstack.gateway.allotment.AllotmentKeeper;
import org.arbutusstack.gateway.stream.StreamOriginMemory;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.AllotmentRequestFrame;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.PermitFrame;
import org.arbutusstack.wire.frame.PermitRequestFrame;
import org.arbutusstack.wire.frame.StreamOriginFrame;
import org.arbutusstack.wire.frame.StreamOriginRequestFrame;
import org.arbutusstack.wire.link.Link;

/**
 * Answers to the requests with which entries share the limits of backend servers, the allotments of teams and the
 * origins of streams. They are sent on the threads of the links, since they must not wait for a call to the runner.
 * Thread-safe.
 */
final class EntryRequests {

    private final PermitAllocator permits;

    private final AllotmentKeeper allotments;

    private final StreamOriginMemory origins;

    private final AgentMetrics metrics;

    EntryRequests(AgentMetrics metrics, Clock clock) {
        this.metrics = Assert.notNull(metrics, "metrics");
        this.permits = new PermitAllocator(clock);
        this.origins = new StreamOriginMemory(clock);
        this.allotments = new AllotmentKeeper(new SplittableRandom().nextLong() | 1, clock);
    }

    /**
     * Answer a frame of an entry, if it is such a request. An announcement goes to all links.
     *
     * @return whether the frame was such a request
     */
    boolean answer(Link link, Frame frame, Collection<Link> links) {
        if (frame instanceof PermitRequestFrame request) {
            PermitFrame answer = permits.request(request);
            metrics.countPermit(answer.isGranted());
            link.send(answer);
            return true;
        }
        if (frame instanceof AllotmentRequestFrame request) {
            AllotmentKeeper.Answer answer = allotments.request(request);
            answer.grant().ifPresent(grant -> {
                metrics.countAllotmentGrant(grant.tokens() > 0);
                link.send(grant);
            });
            answer.announcement().ifPresent(announcement -> links.forEach(each -> each.send(announcement)));
            return true;
        }
        if (frame instanceof StreamOriginFrame origin && origin.version().isPresent()) {
            origins.record(origin.requestId(), origin.version().get());
            return true;
        }
        if (frame instanceof StreamOriginRequestFrame request) {
            link.send(new StreamOriginFrame(request.requestId(), origins.find(request.requestId())));
            return true;
        }
        return false;
    }

    /** Describe the pools of teams for the state dump of the process. */
    List<String> describe() {
        return allotments.describe();
    }
}
