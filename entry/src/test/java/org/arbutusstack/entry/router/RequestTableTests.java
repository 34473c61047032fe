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

/** Tests what callers are told, whatever becomes of the attempts. */
public class RequestTableTests {

    private static final String EVENTS = "text/event-stream";

    private static final String JSON = "application/json";

    private static final Refusal NOT_RUN = Refusal.notRun(RefusalReason.QUEUE_FULL, "full");

    private static final Refusal UNKNOWN = Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, "lost");

    /** Each row: what happens to an idempotent and a non-idempotent request, and what the caller is told. */
    @DataProvider
    Object[][] fates() {
        return new Object[][] {
            {"never sent: no runner", fate((run, request) -> {}), true, "no-runner", "not_run"},
            {
                "refused by every side before it sent",
                fate((run, request) -> refuseAll(run, request)),
                true,
                "",
                "not_run"
            },
            {
                "sent, link lost, no other runner",
                fate((run, request) -> loseAll(run, request)),
                true,
                "",
                "outcome_unknown"
            },
            {
                "lost, then refused by the next",
                fate((run, request) -> {
                    run.lose(run.sideOf(request));
                    refuseAll(run, request);
                }),
                true,
                "",
                "outcome_unknown"
            },
            {
                "unknown, then refused by the next",
                fate((run, request) -> {
                    run.refuse(request, UNKNOWN);
                    refuseAll(run, request);
                }),
                true,
                "",
                "outcome_unknown"
            },
            {
                "sent and silent to the deadline",
                fate((run, request) -> run.receipt(request)),
                true,
                "",
                "outcome_unknown"
            },
            {
                "non-idempotent: unknown at the side",
                fate((run, request) -> run.refuse(request, UNKNOWN)),
                false,
                "",
                "outcome_unknown"
            },
            {
                "non-idempotent: refused by every side",
                fate((run, request) -> refuseAll(run, request)),
                false,
                "",
                "not_run"
            },
            {"send buffer of every link full", fate((run, request) -> {}), true, "full", "not_run"},
        };
    }

    private static BiConsumer<TableHarness, CallerRequest> fate(BiConsumer<TableHarness, CallerRequest> fate) {
        return fate;
    }

    private static void refuseAll(TableHarness run, CallerRequest request) {
        for (int round = 0; round < 100 && TableHarness.sink(request).ends() == 0; round++) {
            if (run.table.isSent(request.id())) {
                run.refuse(request, NOT_RUN);
            }
            run.passMillis(100);
        }
    }

    private static void loseAll(TableHarness run, CallerRequest request) {
        run.lose("lm-1");
        run.lose("lm-2");
    }

    @Test(dataProvider = "fates")
    public void shouldTellTruthWhenAttemptsEnd(
            String name,
            BiConsumer<TableHarness, CallerRequest> fate,
            boolean idempotent,
            String condition,
            String kind) {
        TableHarness run = condition.equals("no-runner") ? new TableHarness() : new TableHarness("lm-1", "lm-2");
        run.links.values().forEach(link -> link.full(condition.equals("full")));
        CallerRequest request = run.submit(idempotent, false);
        fate.accept(run, request);
        for (int passed = 0; passed <= TableHarness.DEADLINE_MILLIS; passed += 500) {
            run.passMillis(500);
        }
        FakeSink sink = TableHarness.sink(request);
        assertEquals(sink.ends(), 1, name);
        assertEquals(run.events.size(), 1, name);
        assertTrue(sink.text().contains("\"kind\":\"" + kind + "\""), name + ": " + sink.text());
        assertEquals(run.table.size(), 0, name);
    }

    @Test
    public void shouldNotSendAgainWhenOutcomeOfNonIdempotentIsUnknown() {
        TableHarness run = new TableHarness("lm-1", "lm-2");
        CallerRequest request = run.submit(false, false);
        run.refuse(request, UNKNOWN);
        assertEquals(run.work(request).attempt(), 1);
    }

    @Test
    public void shouldTryAnotherRunnerWhenOneRefuses() {
        TableHarness run = new TableHarness("lm-1", "lm-2");
        CallerRequest request = run.submit(true, false);
        String first = run.sideOf(request);
        run.refuse(request, NOT_RUN);
        assertFalse(run.sideOf(request).equals(first));
    }

    @Test
    public void shouldDropFramesWhenTheyBelongToAnOldAttempt() {
        TableHarness run = new TableHarness("lm-1", "lm-2");
        CallerRequest request = run.submit(true, true);
        String first = run.sideOf(request);
        run.head(request, 200, EVENTS);
        run.part(request, 0, 1, "data: a\n\n", false);
        run.refuse(request, UNKNOWN);
        assertEquals(run.work(request).resumeOffset(), 1);
        run.part(request, 1, first, 1, 1, "data: WRONG\n\n", false);
        run.head(request, 200, EVENTS);
        run.part(request, 0, 1, "data: AGAIN\n\n", false);
        run.part(request, 1, 1, "data: b\n\n", false);
        run.part(request, 2, 1, "data: [DONE]\n\n", true);
        assertEquals(TableHarness.sink(request).text(), "data: a\n\ndata: b\n\ndata: [DONE]\n\n");
        assertEquals(TableHarness.sink(request).heads(), 1);
    }

    @Test
    public void shouldResumeWhenPartIsMissing() {
        TableHarness run = new TableHarness("lm-1", "lm-2");
        CallerRequest request = run.submit(true, true);
        run.head(request, 200, EVENTS);
        run.part(request, 0, 1, "data: a\n\n", false);
        run.part(request, 2, 1, "data: c\n\n", false);
        assertEquals(run.work(request).attempt(), 2);
        assertEquals(run.work(request).resumeOffset(), 1);
        assertEquals(TableHarness.sink(request).text(), "data: a\n\n");
    }

    @Test
    public void shouldNotMixBodiesWhenPlainAnswerIsTriedAgain() {
        TableHarness run = new TableHarness("lm-1", "lm-2");
        CallerRequest request = run.submit(true, false);
        run.head(request, 200, JSON);
        run.part(request, 0, 4, "{\"a\"", false);
        run.lose(run.sideOf(request));
        run.head(request, 200, JSON);
        run.part(request, 0, 7, "{\"a\":1}", true);
        assertEquals(TableHarness.sink(request).text(), "{\"a\":1}");
    }

    @Test
    public void shouldEndStreamWithErrorWhenItCannotBeContinued() {
        TableHarness run = new TableHarness("lm-1");
        CallerRequest request = run.submit(true, true);
        run.head(request, 200, EVENTS);
        run.part(request, 0, 1, "data: a\n\n", false);
        run.lose("lm-1");
        run.passMillis(TableHarness.DEADLINE_MILLIS);
        String text = TableHarness.sink(request).text();
        assertTrue(text.contains("event: error"), text);
        assertTrue(text.contains("outcome_unknown"), text);
        assertFalse(text.contains("[DONE]"), text);
        assertEquals(TableHarness.sink(request).heads(), 1);
    }

    @Test
    public void shouldAddNothingWhenLinkIsLostAfterTheTerminalEvent() {
        TableHarness run = new TableHarness("lm-1");
        CallerRequest request = run.submit(true, true);
        run.head(request, 200, EVENTS);
        run.part(request, 0, 2, "data: a\n\ndata: [DONE]\n\n", false);
        run.lose("lm-1");
        run.passMillis(TableHarness.DEADLINE_MILLIS);
        assertEquals(TableHarness.sink(request).text(), "data: a\n\ndata: [DONE]\n\n");
        assertEquals(TableHarness.sink(request).ends(), 1);
    }

    @Test
    public void shouldKeepStreamCleanWhenResumeAnswersWithAnError() {
        TableHarness run = new TableHarness("lm-1", "lm-2");
        CallerRequest request = run.submit(true, true);
        run.head(request, 200, EVENTS);
        run.part(request, 0, 1, "data: a\n\n", false);
        run.lose(run.sideOf(request));
        run.head(request, 404, JSON);
        run.part(request, 1, 0, "{\"error\":\"model not loaded\"}", true);
        run.passMillis(TableHarness.DEADLINE_MILLIS);
        FakeSink sink = TableHarness.sink(request);
        assertEquals(sink.heads(), 1);
        assertFalse(sink.text().contains("not loaded"), sink.text());
    }

    @Test
    public void shouldNotMixVersionsWhenStreamIsResumed() {
        TableHarness run = new TableHarness("lm-1", "lm-2");
        CallerRequest request = run.submit(true, true);
        run.head(request, 200, EVENTS);
        run.part(request, 0, 1, "data: a\n\n", false);
        run.lose(run.sideOf(request));
        run.head(request, 200, EVENTS, "v2");
        run.part(request, 1, 1, "data: OTHER\n\n", false);
        run.passMillis(TableHarness.DEADLINE_MILLIS);
        String text = TableHarness.sink(request).text();
        assertFalse(text.contains("OTHER"), text);
        assertTrue(text.contains("event: error"), text);
    }

    @Test
    public void shouldTryAgainWhenEngineHasNotLoadedTheModel() {
        TableHarness run = new TableHarness("lm-1", "lm-2");
        CallerRequest request = run.submit(true, false);
        String first = run.sideOf(request);
        run.head(request, 404, JSON);
        assertFalse(run.sideOf(request).equals(first));
    }

    @Test
    public void shouldRefuseWhenPlainAnswerOutgrowsTheBound() {
        TableHarness run = new TableHarness("lm-1");
        CallerRequest request = run.submit(true, false);
        run.head(request, 200, JSON);
        String block = "x".repeat(1_048_576);
        for (int index = 0; index < 64 && TableHarness.sink(request).ends() == 0; index++) {
            run.part(request, (long) index * block.length(), block.length(), block, false);
        }
        assertTrue(TableHarness.sink(request).text().contains("answer_too_large"));
        assertEquals(run.table.size(), 0);
    }

    @Test
    public void shouldGiveUpWhenCallerIsGoneThoughNobodySaidSo() {
        TableHarness run = new TableHarness("lm-1");
        CallerRequest request = run.submit(true, false);
        run.receipt(request);
        TableHarness.sink(request).leave();
        run.passMillis(20);
        assertEquals(run.table.size(), 0);
        assertEquals(run.side("lm-1").outstanding(), 0);
    }

    @Test
    public void shouldSendOverNewLinkWhenReceiptIsMissing() {
        TableHarness run = new TableHarness("lm-1");
        CallerRequest request = run.submit(true, false);
        run.passMillis(1_500);
        assertFalse(run.links.get("lm-1").isOpen());
        run.lose("lm-1");
        run.passMillis(300);
        run.sides.connectMissing();
        run.open("lm-1");
        run.passMillis(20);
        assertEquals(run.links.get("lm-1").sent(WorkFrame.class).size(), 1);
        assertEquals(run.work(request).attempt(), 2);
    }
}
