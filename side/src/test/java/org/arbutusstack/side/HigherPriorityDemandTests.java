package org.arbutusstack.side;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.model.request.Priority;
import org.arbutusstack.side.WorkDispatcherFixture.Exchange;
import org.arbutusstack.side.WorkDispatcherFixture.FakeLink;
import org.arbutusstack.wire.frame.RefusalFrame;
import org.testng.annotations.Test;

/**
 * Tests that bulk work which is admitted just before work of higher priority takes most of the backend server is
 * refused early, instead of waiting in the queue until its deadline.
 */
public class HigherPriorityDemandTests {

    private static final long SERVICE_MILLIS = 20;

    private static final long BULK_DEADLINE_MILLIS = 3_000;

    private static final long INTERACTIVE_DEADLINE_MILLIS = 1_500;

    private static final int BULK_REQUESTS = 100;

    private static final int SERVICE_STEPS = 250;

    private final FakeLink link = new FakeLink();

    private final WorkDispatcherFixture fixture =
            new WorkDispatcherFixture(new WorkLimits(200, 100_000, 1, 1_000, 5_000, 60_000));

    private final Map<Long, Long> arrivedMillis = new HashMap<>();

    private final List<Long> refusedAfterMillis = new ArrayList<>();

    private int refusalsSeen;

    @Test
    public void shouldRefuseEarlyWhenBulkIsOvertakenAfterAdmission() {
        offer(1, INTERACTIVE_DEADLINE_MILLIS, Priority.INTERACTIVE);
        completeOne();
        for (int number = 0; number < BULK_REQUESTS; number++) {
            offer(1_000 + number, BULK_DEADLINE_MILLIS, Priority.BULK);
        }
        for (int step = 0; step < SERVICE_STEPS; step++) {
            if (step % 5 < 4) {
                offer(2_000 + step, INTERACTIVE_DEADLINE_MILLIS, Priority.INTERACTIVE);
            }
            completeOne();
        }
        long latestMillis =
                refusedAfterMillis.stream().mapToLong(Long::longValue).max().orElse(0);
        assertTrue(latestMillis < INTERACTIVE_DEADLINE_MILLIS, "refused " + latestMillis + " ms after it was admitted");
        assertTrue(link.refusals().stream().allMatch(refusal -> Long.parseLong(refusal.split(" ")[0]) < 2_000));
        long bulkStarted = fixture.client.started().stream()
                .filter(id -> id.startsWith("entry-1") && id.length() == "entry-1000".length())
                .count();
        assertEquals(bulkStarted + refusedAfterMillis.size(), BULK_REQUESTS);
        assertTrue(bulkStarted >= BULK_REQUESTS / 4, "bulk work that ran: " + bulkStarted);
    }

    private void offer(long number, long leftMillis, Priority priority) {
        arrivedMillis.put(number, fixture.clock.nowNanos() / 1_000_000);
        fixture.receive(WorkDispatcherFixture.frame(number, 1, leftMillis, priority), link);
    }

    /** Complete one request on the backend server, then expire the queued ones. */
    private void completeOne() {
        List<Exchange> exchanges = fixture.client.exchanges.stream()
                .filter(exchange -> exchange.call.path().equals("/v1"))
                .toList();
        fixture.clock.advanceMillis(SERVICE_MILLIS);
        if (fixture.dispatcher.running() > 0) {
            exchanges.get(exchanges.size() - 1).finish();
            fixture.handleEvents();
        }
        fixture.dispatcher.expire();
        List<RefusalFrame> refusals = link.sent(RefusalFrame.class);
        for (RefusalFrame refusal : refusals.subList(refusalsSeen, refusals.size())) {
            long nowMillis = fixture.clock.nowNanos() / 1_000_000;
            refusedAfterMillis.add(nowMillis - arrivedMillis.get(refusal.id().number()));
        }
        refusalsSeen = refusals.size();
    }
}
