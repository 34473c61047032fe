package org.arbutusstack.side;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.request.Priority;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.side.WorkDeskFixture.Exchange;
import org.arbutusstack.side.WorkDeskFixture.FakeLink;
import org.arbutusstack.wire.frame.AnswerPartFrame;
import org.arbutusstack.wire.frame.WorkFrame;
import org.testng.annotations.Test;

/** Tests repeats, order, refusals and silence at the work desk. */
public class WorkDeskTests {

    private final FakeLink link = new FakeLink();

    private static WorkFrame normal(long number, int attempt) {
        return WorkDeskFixture.frame(number, attempt, 60_000, Priority.NORMAL);
    }

    @Test
    public void shouldRunAnewOnlyAfterFormerIsGivenUpWhenIdempotentRequestIsRepeated() {
        WorkDeskFixture fixture = new WorkDeskFixture(WorkDeskFixture.limits(1));
        FakeLink later = new FakeLink();
        fixture.take(normal(1, 1), link);
        Exchange former = fixture.client.last();
        fixture.take(normal(1, 2), later);
        assertTrue(former.cancelled);
        assertEquals(fixture.client.running(), List.of("entry-1"));
        assertEquals(fixture.desk.running(), 1);
        fixture.client.exchanges.stream()
                .filter(exchange -> !exchange.cancelled && exchange.call.path().equals("/v1"))
                .forEach(Exchange::finish);
        former.finish();
        fixture.handle();
        assertTrue(later.sent(AnswerPartFrame.class).stream().allMatch(part -> part.attempt() == 2));
        assertEquals(link.sent(AnswerPartFrame.class).size(), 0);
    }

    @Test
    public void shouldIgnoreFrameOfOldAttemptWhenLaterAttemptEnded() {
        WorkDeskFixture fixture = new WorkDeskFixture(WorkDeskFixture.limits(1));
        fixture.take(normal(1, 2), new FakeLink());
        fixture.client.last().finish();
        fixture.handle();
        fixture.take(normal(1, 1), new FakeLink());
        assertEquals(fixture.client.exchanges.size(), 1);
    }

    @Test
    public void shouldIgnoreDoubledFrameWhenRequestRuns() {
        WorkDeskFixture fixture = new WorkDeskFixture(WorkDeskFixture.limits(2));
        FakeLink same = new FakeLink();
        fixture.take(normal(1, 1), same);
        fixture.take(normal(1, 1), same);
        assertEquals(fixture.client.exchanges.size(), 1);
    }

    @Test
    public void shouldGiveUpWorkOfFormerIncarnationWhenEntryStartsAgain() {
        WorkDeskFixture fixture = new WorkDeskFixture(WorkDeskFixture.limits(1));
        fixture.desk.entryStarted("entry-1", "old");
        RequestId orphan = new RequestId("old", 1);
        fixture.take(WorkDeskFixture.frame(orphan, 1, 60_000, Priority.NORMAL, "m"), new FakeLink());
        fixture.desk.entryStarted("entry-1", "new");
        assertEquals(fixture.client.running(), List.of());
        assertTrue(fixture.desk.isIdle());
        assertEquals(fixture.audited.size(), 1);
    }

    @Test
    public void shouldRunInteractiveFirstAndBulkInTurnWhenBothWait() {
        WorkDeskFixture fixture = new WorkDeskFixture(WorkDeskFixture.limits(1));
        FakeLink own = new FakeLink();
        fixture.take(normal(0, 1), own);
        for (int number = 1; number <= 2; number++) {
            fixture.take(WorkDeskFixture.frame(number, 1, 60_000, Priority.BULK), own);
        }
        for (int number = 11; number <= 22; number++) {
            fixture.take(WorkDeskFixture.frame(number, 1, 50_000 - number, Priority.INTERACTIVE), own);
        }
        for (int turn = 0; turn < WorkQueue.TAKES_PER_BULK_TURN; turn++) {
            fixture.client.last().finish();
            fixture.handle();
        }
        List<String> order = fixture.client.started();
        assertEquals(order.get(1), "entry-22");
        assertEquals(order.get(2), "entry-21");
        assertEquals(order.indexOf("entry-1"), WorkQueue.TAKES_PER_BULK_TURN - 1);
    }

    @Test
    public void shouldRefuseAtOnceWhenMeasuredTimesLeaveNoTime() {
        WorkDeskFixture fixture = new WorkDeskFixture(WorkDeskFixture.limits(1));
        FakeLink own = new FakeLink();
        fixture.take(normal(1, 1), own);
        fixture.clock.advanceMillis(900);
        fixture.client.last().finish();
        fixture.handle();
        fixture.take(normal(2, 1), own);
        fixture.take(WorkDeskFixture.frame(3, 1, 800, Priority.INTERACTIVE), own);
        fixture.take(WorkDeskFixture.frame(4, 1, 4_000, Priority.INTERACTIVE), own);
        assertEquals(own.refusals(), List.of("3 NOT_RUN DEADLINE_UNREACHABLE"));
        assertEquals(fixture.desk.queued(), 1);
    }

    @Test
    public void shouldRefuseWaitingWorkWhenTooLittleTimeIsLeftToRunIt() {
        WorkDeskFixture fixture = new WorkDeskFixture(WorkDeskFixture.limits(1));
        FakeLink own = new FakeLink();
        fixture.take(normal(1, 1), own);
        fixture.clock.advanceMillis(900);
        fixture.client.last().finish();
        fixture.handle();
        fixture.take(normal(2, 1), own);
        fixture.take(WorkDeskFixture.frame(3, 1, 1_850, Priority.INTERACTIVE), own);
        fixture.clock.advanceMillis(800);
        fixture.desk.expire();
        assertEquals(own.refusals(), List.of());
        fixture.clock.advanceMillis(170);
        fixture.desk.expire();
        assertEquals(own.refusals(), List.of("3 NOT_RUN DEADLINE_UNREACHABLE"));
    }

    @Test
    public void shouldRefuseWhenQueueIsFullByCountOrBytes() {
        WorkDeskFixture fixture = new WorkDeskFixture(new WorkLimits(2, 20, 1, 1_000, 1_000, 60_000));
        FakeLink own = new FakeLink();
        fixture.take(normal(1, 1), own);
        fixture.take(normal(2, 1), own);
        fixture.take(normal(3, 1), own);
        assertEquals(own.refusals(), List.of("3 NOT_RUN QUEUE_FULL"));
    }

    @Test
    public void shouldRunOthersWhenModelOfFirstIsNotReady() {
        WorkDeskFixture fixture = new WorkDeskFixture(WorkDeskFixture.limits(1));
        RequestId first = new RequestId("entry", 1);
        fixture.desk.take(WorkDeskFixture.frame(first, 1, 5_000, Priority.INTERACTIVE, "absent"), link);
        fixture.desk.take(normal(2, 1), link);
        fixture.desk.dispatch(work -> !work.frame().model().equals("absent"));
        assertEquals(fixture.client.running(), List.of("entry-2"));
    }

    @Test
    public void shouldFollowSlotsOfBackendServerWhenReported() {
        WorkDeskFixture fixture = new WorkDeskFixture(WorkDeskFixture.limits(8));
        fixture.desk.slotsReported(2);
        for (int number = 1; number <= 4; number++) {
            fixture.take(normal(number, 1), link);
        }
        assertEquals(fixture.desk.running(), 2);
        fixture.desk.slotsReported(100);
        fixture.handle();
        assertEquals(fixture.desk.running(), 4);
    }

    @Test
    public void shouldRefuseTruthfullyWhenBackendServerGoesSilent() {
        WorkDeskFixture fixture = new WorkDeskFixture(WorkDeskFixture.limits(1));
        FakeLink own = new FakeLink();
        fixture.take(normal(1, 1), own);
        fixture.client.last().head();
        fixture.client.last().event("word");
        fixture.handle();
        fixture.clock.advanceMillis(900);
        fixture.desk.expire();
        assertEquals(own.refusals(), List.of());
        fixture.clock.advanceMillis(200);
        fixture.desk.expire();
        assertEquals(own.refusals(), List.of("1 OUTCOME_UNKNOWN BACKEND_LOST"));
    }

    @Test
    public void shouldNeverSendLastPartWhenPartWasLostInProcess() {
        WorkDeskFixture fixture = new WorkDeskFixture(WorkDeskFixture.limits(1));
        FakeLink own = new FakeLink();
        WorkDesk desk = fixture.desk;
        Work[] seen = new Work[1];
        desk.take(normal(1, 1), own);
        desk.dispatch(work -> {
            seen[0] = work;
            return true;
        });
        seen[0].markBroken();
        fixture.client.last().finish();
        fixture.handle();
        assertTrue(fixture.client.last().cancelled);
        assertEquals(own.refusals(), List.of("1 OUTCOME_UNKNOWN BACKEND_LOST"));
        assertTrue(own.sent(AnswerPartFrame.class).stream().noneMatch(AnswerPartFrame::last));
    }

    @Test
    public void shouldTakeNoNewWorkWhenDraining() {
        WorkDeskFixture fixture = new WorkDeskFixture(WorkDeskFixture.limits(1));
        FakeLink own = new FakeLink();
        fixture.take(normal(1, 1), own);
        fixture.desk.drain();
        fixture.take(normal(2, 1), own);
        assertEquals(own.refusals(), List.of("2 NOT_RUN LEAVING"));
        assertTrue(!fixture.desk.isIdle());
        fixture.client.last().finish();
        fixture.handle();
        assertTrue(fixture.desk.isIdle());
        assertTrue(own.sent(AnswerPartFrame.class).stream().anyMatch(AnswerPartFrame::last));
    }

    private static WorkFrame of(long number, String model) {
        return WorkDeskFixture.frame(new RequestId("entry", number), 1, 60_000, Priority.NORMAL, model);
    }

    private static JsonNode load(int crashes) {
        String json = "{\"crashes\":" + crashes + ",\"models\":[1]}";
        return JsonCodec.read(json.getBytes(StandardCharsets.UTF_8), JsonNode.class);
    }

    private static void report(WorkDeskFixture fixture, int crashes) {
        fixture.clock.advanceMillis(10);
        fixture.suspects.loadAsked();
        fixture.suspects.loadReported(load(crashes));
        fixture.handle();
    }

    @Test
    public void shouldRunSuspectAloneAndRefuseItWhenItCrashesSecondEngine() {
        WorkDeskFixture fixture = new WorkDeskFixture(WorkDeskFixture.limits(4));
        FakeLink own = new FakeLink();
        report(fixture, 0);
        fixture.take(of(1, "innocent"), own);
        fixture.take(of(2, "crasher"), own);
        fixture.client.exchanges.get(0).fail();
        fixture.client.exchanges.get(1).fail();
        fixture.handle();
        fixture.take(of(3, "other"), own);
        assertEquals(fixture.client.started().size(), 2, "nothing is sent before the engine reported");
        report(fixture, 1);
        assertEquals(fixture.client.started().size(), 3);
        fixture.client.last().finish();
        fixture.handle();
        fixture.take(of(4, "crasher"), own);
        fixture.take(of(5, "innocent"), own);
        fixture.take(of(6, "other"), own);
        assertEquals(fixture.client.started().size(), 4, "the suspect runs alone");
        fixture.client.last().fail();
        fixture.handle();
        report(fixture, 2);
        assertEquals(own.refusals().get(2), "4 REJECTED QUARANTINED");
        fixture.take(of(7, "crasher"), own);
        assertEquals(own.refusals().get(3), "7 REJECTED QUARANTINED");
        assertEquals(fixture.desk.running(), 1);
        for (int left = 0; left < 2; left++) {
            fixture.client.last().finish();
            fixture.handle();
        }
        assertTrue(fixture.desk.isIdle());
        fixture.take(of(8, "innocent"), own);
        fixture.take(of(9, "other"), own);
        assertEquals(fixture.desk.running(), 2, "the innocent is cleared");
    }

    @Test
    public void shouldTakeStrikeBackWhenOnlyConnectionWasLost() {
        WorkDeskFixture fixture = new WorkDeskFixture(WorkDeskFixture.limits(4));
        report(fixture, 3);
        for (int time = 0; time < 3; time++) {
            fixture.take(of(time, "steady"), new FakeLink());
            fixture.client.last().fail();
            fixture.handle();
            report(fixture, 3);
        }
        fixture.take(of(7, "steady"), new FakeLink());
        fixture.take(of(8, "steady"), new FakeLink());
        assertEquals(fixture.desk.running(), 2);
    }

    @Test
    public void shouldLetOtherRunnersTakeOverWhenEngineDoesNotAnswer() {
        WorkDeskFixture fixture = new WorkDeskFixture(WorkDeskFixture.limits(1));
        FakeLink own = new FakeLink();
        fixture.take(of(1, "m"), own);
        fixture.take(of(2, "n"), own);
        fixture.client.last().fail();
        fixture.handle();
        fixture.desk.engineAway();
        assertEquals(own.refusals(), List.of("1 OUTCOME_UNKNOWN BACKEND_LOST", "2 NOT_RUN BACKEND_LOST"));
    }
}
