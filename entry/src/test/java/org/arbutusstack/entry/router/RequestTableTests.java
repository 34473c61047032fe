package org.arbutusstack.entry.router;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.function.BiConsumer;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.wire.frame.WorkFrame;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for the response that a caller gets for each sequence of attempts of its request. */
public class RequestTableTests {

    private static final String EVENTS = "text/event-stream";

    private static final String JSON = "application/json";

    private static final Refusal NOT_RUN = Refusal.notRun(RefusalReason.QUEUE_FULL, "full");

    private static final Refusal UNKNOWN = Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, "lost");

    /**
     * Columns: name, events during the request, whether it is idempotent, initial condition, expected kind of refusal.
     */
    @DataProvider
    Object[][] scenarios() {
        return new Object[][] {
            {"never sent: no runner", scenario((harness, request) -> {}), true, "no-runner", "not_run"},
            {
                "refused by every side before it sent",
                scenario((harness, request) -> refuseAll(harness, request)),
                true,
                "",
                "not_run"
            },
            {
                "sent, link lost, no other runner",
                scenario((harness, request) -> loseAll(harness, request)),
                true,
                "",
                "outcome_unknown"
            },
            {
                "lost, then refused by the next",
                scenario((harness, request) -> {
                    harness.lose(harness.sideOf(request));
                    refuseAll(harness, request);
                }),
                true,
                "",
                "outcome_unknown"
            },
            {
                "unknown, then refused by the next",
                scenario((harness, request) -> {
                    harness.refuse(request, UNKNOWN);
                    refuseAll(harness, request);
                }),
                true,
                "",
                "outcome_unknown"
            },
            {
                "sent, no answer before the deadline",
                scenario((harness, request) -> harness.receipt(request)),
                true,
                "",
                "outcome_unknown"
            },
            {
                "non-idempotent: outcome unknown to the side",
                scenario((harness, request) -> harness.refuse(request, UNKNOWN)),
                false,
                "",
                "outcome_unknown"
            },
            {
                "non-idempotent: refused by every side",
                scenario((harness, request) -> refuseAll(harness, request)),
                false,
                "",
                "not_run"
            },
            {"send buffer of every link full", scenario((harness, request) -> {}), true, "full", "not_run"},
        };
    }

    private static BiConsumer<TableHarness, CallerRequest> scenario(BiConsumer<TableHarness, CallerRequest> scenario) {
        return scenario;
    }

    private static void refuseAll(TableHarness harness, CallerRequest request) {
        for (int round = 0; round < 100 && TableHarness.sink(request).ends() == 0; round++) {
            if (harness.table.isSent(request.id())) {
                harness.refuse(request, NOT_RUN);
            }
            harness.passMillis(100);
        }
    }

    private static void loseAll(TableHarness harness, CallerRequest request) {
        harness.lose("lm-1");
        harness.lose("lm-2");
    }

    @Test(dataProvider = "scenarios")
    public void shouldReportAccurateOutcomeWhenAttemptsEnd(
            String name,
            BiConsumer<TableHarness, CallerRequest> scenario,
            boolean idempotent,
            String condition,
            String kind) {
        TableHarness harness = condition.equals("no-runner") ? new TableHarness() : new TableHarness("lm-1", "lm-2");
        harness.links.values().forEach(link -> link.full(condition.equals("full")));
        CallerRequest request = harness.submit(idempotent, false);
        scenario.accept(harness, request);
        for (int elapsedMillis = 0; elapsedMillis <= TableHarness.DEADLINE_MILLIS; elapsedMillis += 500) {
            harness.passMillis(500);
        }
        FakeSink sink = TableHarness.sink(request);
        assertEquals(sink.ends(), 1, name);
        assertEquals(harness.events.size(), 1, name);
        assertTrue(sink.text().contains("\"kind\":\"" + kind + "\""), name + ": " + sink.text());
        assertEquals(harness.table.size(), 0, name);
    }

    @Test
    public void shouldNotSendAgainWhenOutcomeOfNonIdempotentIsUnknown() {
        TableHarness harness = new TableHarness("lm-1", "lm-2");
        CallerRequest request = harness.submit(false, false);
        harness.refuse(request, UNKNOWN);
        assertEquals(harness.work(request).attempt(), 1);
    }

    @Test
    public void shouldTryAnotherRunnerWhenOneRefuses() {
        TableHarness harness = new TableHarness("lm-1", "lm-2");
        CallerRequest request = harness.submit(true, false);
        String first = harness.sideOf(request);
        harness.refuse(request, NOT_RUN);
        assertFalse(harness.sideOf(request).equals(first));
    }

    @Test
    public void shouldDropFramesWhenTheyBelongToAnOldAttempt() {
        TableHarness harness = new TableHarness("lm-1", "lm-2");
        CallerRequest request = harness.submit(true, true);
        String first = harness.sideOf(request);
        harness.head(request, 200, EVENTS);
        harness.part(request, 0, 1, "data: a\n\n", false);
        harness.refuse(request, UNKNOWN);
        assertEquals(harness.work(request).resumeOffset(), 1);
        harness.part(request, 1, first, 1, 1, "data: WRONG\n\n", false);
        harness.head(request, 200, EVENTS);
        harness.part(request, 0, 1, "data: AGAIN\n\n", false);
        harness.part(request, 1, 1, "data: b\n\n", false);
        harness.part(request, 2, 1, "data: [DONE]\n\n", true);
        assertEquals(TableHarness.sink(request).text(), "data: a\n\ndata: b\n\ndata: [DONE]\n\n");
        assertEquals(TableHarness.sink(request).heads(), 1);
    }

    @Test
    public void shouldResumeWhenPartIsMissing() {
        TableHarness harness = new TableHarness("lm-1", "lm-2");
        CallerRequest request = harness.submit(true, true);
        harness.head(request, 200, EVENTS);
        harness.part(request, 0, 1, "data: a\n\n", false);
        harness.part(request, 2, 1, "data: c\n\n", false);
        assertEquals(harness.work(request).attempt(), 2);
        assertEquals(harness.work(request).resumeOffset(), 1);
        assertEquals(TableHarness.sink(request).text(), "data: a\n\n");
    }

    @Test
    public void shouldNotMixBodiesWhenPlainAnswerIsTriedAgain() {
        TableHarness harness = new TableHarness("lm-1", "lm-2");
        CallerRequest request = harness.submit(true, false);
        harness.head(request, 200, JSON);
        harness.part(request, 0, 4, "{\"a\"", false);
        harness.lose(harness.sideOf(request));
        harness.head(request, 200, JSON);
        harness.part(request, 0, 7, "{\"a\":1}", true);
        assertEquals(TableHarness.sink(request).text(), "{\"a\":1}");
    }

    @Test
    public void shouldEndStreamWithErrorWhenItCannotBeContinued() {
        TableHarness harness = new TableHarness("lm-1");
        CallerRequest request = harness.submit(true, true);
        harness.head(request, 200, EVENTS);
        harness.part(request, 0, 1, "data: a\n\n", false);
        harness.lose("lm-1");
        harness.passMillis(TableHarness.DEADLINE_MILLIS);
        String text = TableHarness.sink(request).text();
        assertTrue(text.contains("event: error"), text);
        assertTrue(text.contains("outcome_unknown"), text);
        assertFalse(text.contains("[DONE]"), text);
        assertEquals(TableHarness.sink(request).heads(), 1);
    }

    @Test
    public void shouldAddNothingWhenLinkIsLostAfterTheTerminalEvent() {
        TableHarness harness = new TableHarness("lm-1");
        CallerRequest request = harness.submit(true, true);
        harness.head(request, 200, EVENTS);
        harness.part(request, 0, 2, "data: a\n\ndata: [DONE]\n\n", false);
        harness.lose("lm-1");
        harness.passMillis(TableHarness.DEADLINE_MILLIS);
        assertEquals(TableHarness.sink(request).text(), "data: a\n\ndata: [DONE]\n\n");
        assertEquals(TableHarness.sink(request).ends(), 1);
    }

    @Test
    public void shouldKeepStreamCleanWhenResumeAnswersWithAnError() {
        TableHarness harness = new TableHarness("lm-1", "lm-2");
        CallerRequest request = harness.submit(true, true);
        harness.head(request, 200, EVENTS);
        harness.part(request, 0, 1, "data: a\n\n", false);
        harness.lose(harness.sideOf(request));
        harness.head(request, 404, JSON);
        harness.part(request, 1, 0, "{\"error\":\"model not loaded\"}", true);
        harness.passMillis(TableHarness.DEADLINE_MILLIS);
        FakeSink sink = TableHarness.sink(request);
        assertEquals(sink.heads(), 1);
        assertFalse(sink.text().contains("not loaded"), sink.text());
    }

    @Test
    public void shouldNotMixVersionsWhenStreamIsResumed() {
        TableHarness harness = new TableHarness("lm-1", "lm-2");
        CallerRequest request = harness.submit(true, true);
        harness.head(request, 200, EVENTS);
        harness.part(request, 0, 1, "data: a\n\n", false);
        harness.lose(harness.sideOf(request));
        harness.head(request, 200, EVENTS, "v2");
        harness.part(request, 1, 1, "data: OTHER\n\n", false);
        harness.passMillis(TableHarness.DEADLINE_MILLIS);
        String text = TableHarness.sink(request).text();
        assertFalse(text.contains("OTHER"), text);
        assertTrue(text.contains("event: error"), text);
    }

    @Test
    public void shouldTryAgainWhenEngineHasNotLoadedTheModel() {
        TableHarness harness = new TableHarness("lm-1", "lm-2");
        CallerRequest request = harness.submit(true, false);
        String first = harness.sideOf(request);
        harness.head(request, 404, JSON);
        assertFalse(harness.sideOf(request).equals(first));
    }

    @Test
    public void shouldRefuseWhenPlainAnswerOutgrowsTheBound() {
        TableHarness harness = new TableHarness("lm-1");
        CallerRequest request = harness.submit(true, false);
        harness.head(request, 200, JSON);
        String block = "x".repeat(1_048_576);
        for (int index = 0; index < 64 && TableHarness.sink(request).ends() == 0; index++) {
            harness.part(request, (long) index * block.length(), block.length(), block, false);
        }
        assertTrue(TableHarness.sink(request).text().contains("answer_too_large"));
        assertEquals(harness.table.size(), 0);
    }

    @Test
    public void shouldReleaseRequestWhenCallerDisconnectsWithoutEvent() {
        TableHarness harness = new TableHarness("lm-1");
        CallerRequest request = harness.submit(true, false);
        harness.receipt(request);
        TableHarness.sink(request).disconnect();
        harness.passMillis(20);
        assertEquals(harness.table.size(), 0);
        assertEquals(harness.side("lm-1").outstanding(), 0);
    }

    @Test
    public void shouldSendOverNewLinkWhenReceiptIsMissing() {
        TableHarness harness = new TableHarness("lm-1");
        CallerRequest request = harness.submit(true, false);
        harness.passMillis(1_500);
        assertFalse(harness.links.get("lm-1").isOpen());
        harness.lose("lm-1");
        harness.passMillis(300);
        harness.sides.connectMissing();
        harness.open("lm-1");
        harness.passMillis(20);
        assertEquals(harness.links.get("lm-1").sent(WorkFrame.class).size(), 1);
        assertEquals(harness.work(request).attempt(), 2);
    }
}
