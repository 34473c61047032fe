package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutusstack.gateway.config.AllotmentUnit;
import org.arbutusstack.gateway.config.Route;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.config.Team;
import org.arbutusstack.kernel.time.Clock;
import org.testng.annotations.Test;

/** Tests the order of waiting requests on a clock that advances with each reading, as that of a machine does. */
public class WaitingRequestsTests {

    private static final Team TEAM =
            new Team("t", Set.of(), OptionalInt.empty(), AllotmentUnit.TOKEN, 1_000, 1_000, 200);

    private static final Route ROUTE = new Route(
            "r",
            "h",
            "/p/",
            RouteKind.STREAMING,
            30_000,
            10_000,
            300,
            1,
            List.of(new Route.WeightedService("s", 1)),
            1,
            false,
            false,
            false);

    /** Clock that advances with each reading. */
    private static final class RunningClock implements Clock {

        private final AtomicLong nanos = new AtomicLong();

        @Override
        public long nowNanos() {
            return nanos.addAndGet(50);
        }

        @Override
        public long wallMillis() {
            return nanos.get() / NANOS_PER_MILLI;
        }
    }

    private static ActiveRequest request(long deadlineNanos) {
        InboundRequest request = new InboundRequest(
                "q" + deadlineNanos,
                "POST",
                "/p/",
                Map.of(),
                new byte[0],
                ROUTE,
                "s",
                Optional.of(TEAM),
                "m",
                "",
                100,
                10,
                0,
                List.of(),
                "",
                0,
                deadlineNanos);
        return new ActiveRequest(request, new FakeCaller());
    }

    /** Guards against a share that changes while requests are compared, which made the order inconsistent. */
    @Test
    public void shouldOrderRequestsOfOneTeamByDeadline() {
        Clock clock = new RunningClock();
        WaitingRequests waiting = new WaitingRequests(new PromptAdmission(500, clock), clock);
        waiting.config(new ServingConfig(1, List.of(ROUTE), List.of(), 1_000));
        waiting.recordSent(request(1));
        List<ActiveRequest> expected = new ArrayList<>();
        for (int number = 0; number < 64; number++) {
            expected.add(request(1_000 + number));
        }
        List<ActiveRequest> shuffled = new ArrayList<>(expected);
        Collections.shuffle(shuffled, new Random(1));
        shuffled.forEach(waiting::add);
        assertEquals(waiting.inOrder(), expected);
    }
}
