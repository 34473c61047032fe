package org.arbutusstack.entry.router;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.testng.annotations.Test;

/** Tests that a request whose response cannot be written ends alone. */
public class FailingRequestTests {

    private static final long PAST_DEADLINE_MILLIS = 20_000;

    /** Guards against callers who wait past their deadline, since the response to another could not be written. */
    @Test
    public void shouldExpireOtherRequestsWhenRefusalsCannotBeWritten() {
        TableHarness harness = new TableHarness("lm-1");
        CallerRequest[] requests = new CallerRequest[8];
        for (int index = 0; index < requests.length; index++) {
            requests[index] = harness.submit(true, false);
            if (index % 2 == 0) {
                TableHarness.sink(requests[index]).makeUnwritable();
            }
        }
        harness.passMillis(PAST_DEADLINE_MILLIS);
        for (int index = 0; index < requests.length; index++) {
            FakeSink sink = TableHarness.sink(requests[index]);
            assertTrue(index % 2 == 0 ? sink.isClosed() : sink.ends() == 1, "request " + index);
        }
        assertEquals(harness.table.size(), 0);
    }

    /** Guards against a caller who hears nothing until its deadline, since the answer could not be written. */
    @Test
    public void shouldCloseConnectionWhenAnswerCannotBeWritten() {
        TableHarness harness = new TableHarness("lm-1");
        CallerRequest request = harness.submit(true, false);
        TableHarness.sink(request).makeUnwritable();
        harness.receipt(request);
        harness.head(request, 200, "application/json");
        harness.part(request, 0, 2, "{}", true);
        assertTrue(TableHarness.sink(request).isClosed());
        assertEquals(harness.table.size(), 0);
    }

    /** Guards against sides that are never linked again, since the link to another could not be opened. */
    @Test
    public void shouldOpenOtherLinksWhenOneCannotBeOpened() {
        TableHarness harness = new TableHarness("lm-1", "lm-2", "lm-3");
        for (String name : new String[] {"lm-1", "lm-2", "lm-3"}) {
            harness.lose(name);
        }
        harness.links.clear();
        harness.failingPort = 2;
        harness.passMillis(PAST_DEADLINE_MILLIS);
        harness.sides.connectMissing();
        assertEquals(harness.links.keySet(), Set.of("lm-1", "lm-3"));
    }
}
