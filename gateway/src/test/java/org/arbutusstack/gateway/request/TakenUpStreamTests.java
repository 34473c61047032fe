package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.model.request.RefusalKind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a stream that its caller takes up, mostly at another entry, goes on at the version that began it. */
public class TakenUpStreamTests {

    private static final String BEGIN = "id: 1\ndata: a\n\n";

    private static final String REST = "id: 2\ndata: b\n\n";

    /** Longer than any stream lasts, further attempts included. */
    private static final long STREAM_MILLIS = 31_000;

    private static final long TICK_MILLIS = 40;

    private static final long LOOKUP_MILLIS = 500;

    private FakeSides sides;

    private int entries;

    @BeforeMethod
    void startSides() {
        sides = new FakeSides().with("10.0.1.1", "10.0.1.2", "10.0.1.3", "10.0.1.4");
        entries = 0;
    }

    private DispatcherHarness entry(String... versions) {
        DispatcherHarness entry = new DispatcherHarness(sides);
        entries++;
        entry.idPrefix = "e" + entries + "-";
        for (int index = 0; index < versions.length; index++) {
            entry.runnerOfVersion(versions[index], "i" + index, DispatcherHarness.PLAIN);
        }
        entry.origins.tick();
        return entry;
    }

    /** Let time pass in which the entry sees which versions serve. */
    private static void watch(DispatcherHarness entry, long millis) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            entry.clock.advanceMillis(TICK_MILLIS);
            entry.origins.tick();
        }
    }

    private static FakeCaller send(DispatcherHarness entry) {
        return entry.send(DispatcherHarness.route(RouteKind.STREAMING, DispatcherHarness.PLAIN, 3, true), "");
    }

    /** Begin a stream at an entry that is lost with its connections right after the first event. */
    private String beginAndLose(DispatcherHarness entry) {
        send(entry);
        begin(entry);
        return entry.runners.last().request.id();
    }

    private static void begin(DispatcherHarness entry) {
        entry.runners.last().streamHead(true);
        entry.runners.last().bytes(BEGIN);
    }

    private FakeCaller takeUp(DispatcherHarness entry, String requestId) {
        entry.resumedEventId = "1";
        entry.resumedRequestId = requestId;
        FakeCaller caller = send(entry);
        sides.answer(entry.origins);
        entry.dispatcher.tick();
        return caller;
    }

    private static void assertGoesOn(DispatcherHarness entry, FakeCaller caller, String version) {
        assertFalse(entry.runners.sent.isEmpty(), "the stream did not go on");
        assertEquals(entry.runners.last().runner.softwareVersion(), version);
        entry.runners.last().streamHead(true);
        entry.runners.last().bytes(REST);
        entry.runners.last().end();
        assertEquals(caller.body.toString(), REST);
        assertTrue(caller.ended);
    }

    private static void assertRefused(DispatcherHarness entry, FakeCaller caller) {
        assertEquals(entry.runners.sent.size(), 0);
        assertEquals(caller.refusal.kind(), RefusalKind.NOT_RUN);
    }

    /** Guards against an answer that joins two versions: its entry is gone, and the one asked does not know it. */
    @Test
    public void shouldGoOnAtVersionThatBeganStreamWhenItsEntryIsLost() {
        for (String version : new String[] {"v1", "v2"}) {
            String requestId = beginAndLose(entry(version));
            DispatcherHarness other = entry("v1", "v2", "v3");
            assertGoesOn(other, takeUp(other, requestId), version);
        }
    }

    /** Guards against a third part of the stream from another version: the caller names the first request again. */
    @Test
    public void shouldGoOnAtVersionThatBeganStreamWhenItIsTakenUpAgain() {
        String requestId = beginAndLose(entry("v2"));
        DispatcherHarness second = entry("v1", "v2");
        takeUp(second, requestId);
        second.runners.last().streamHead(true);
        second.runners.last().bytes(REST);
        sides.lose("10.0.1.1");
        DispatcherHarness third = entry("v1", "v2");
        third.resumedEventId = "2";
        assertGoesOn(third, takeUp(third, requestId), "v2");
    }

    /** Guards against a join after the loss of all entries: the runners of the version that began it have left. */
    @Test
    public void shouldRefuseWhenRunnersOfVersionThatBeganStreamHaveLeft() {
        String requestId = beginAndLose(entry("v1"));
        DispatcherHarness restarted = entry("v2");
        assertRefused(restarted, takeUp(restarted, requestId));
    }

    /** Guards against a join by an entry that has just started and sees only the version that serves now. */
    @Test
    public void shouldRefuseWhenNobodyRemembersStreamAndEntryHasNotSeenAllVersions() {
        String requestId = beginAndLose(entry("v1"));
        sides = new FakeSides().with("10.0.1.5");
        DispatcherHarness restarted = entry("v2");
        assertRefused(restarted, takeUp(restarted, requestId));
    }

    /** Guards against a join by an entry that has seen another version leave a moment ago. */
    @Test
    public void shouldRefuseWhenNobodyRemembersStreamAndAnotherVersionServedLately() {
        DispatcherHarness entry = entry("v1", "v2");
        watch(entry, STREAM_MILLIS);
        entry.table.remove("i0");
        watch(entry, LOOKUP_MILLIS);
        assertRefused(entry, takeUp(entry, "forgotten"));
        watch(entry, STREAM_MILLIS);
        assertGoesOn(entry, takeUp(entry, "forgotten"), "v2");
    }

    /** Guards against a join by an entry that cannot read which versions serve. */
    @Test
    public void shouldRefuseWhenNobodyRemembersStreamAndDirectoryIsLost() {
        DispatcherHarness entry = entry("v1");
        watch(entry, STREAM_MILLIS);
        entry.table.directoryLost();
        watch(entry, LOOKUP_MILLIS);
        entry.table.directoryRegained();
        assertRefused(entry, takeUp(entry, "forgotten"));
    }

    /** Guards against refusing streams where all runners have had one version all the time. */
    @Test
    public void shouldGoOnAnywhereWhenNobodyRemembersStreamAndOneVersionServes() {
        DispatcherHarness entry = entry("v1", "v1");
        watch(entry, STREAM_MILLIS);
        assertGoesOn(entry, takeUp(entry, "forgotten"), "v1");
        assertGoesOn(entry, takeUp(entry, ""), "v1");
    }

    /** Guards against a join by an entry that has not read yet that another version serves. */
    @Test
    public void shouldAskSidesWhenOnlyOneVersionIsKnown() {
        DispatcherHarness entry = entry("v1", "v1");
        watch(entry, STREAM_MILLIS);
        String requestId = beginAndLose(entry("v2"));
        assertRefused(entry, takeUp(entry, requestId));
    }

    /** Guards against a join by an entry that was frozen, and has not seen which versions served meanwhile. */
    @Test
    public void shouldRefuseWhenNobodyRemembersStreamAndEntryWasHeldUp() {
        DispatcherHarness entry = entry("v1");
        watch(entry, STREAM_MILLIS);
        entry.clock.advanceMillis(4_000);
        entry.origins.tick();
        assertRefused(entry, takeUp(entry, "forgotten"));
    }

    /** Guards against joining a stream of a caller that does not name the request that began it. */
    @Test
    public void shouldRefuseAtOnceWhenCallerDoesNotNameRequestAndSeveralVersionsServe() {
        DispatcherHarness entry = entry("v1", "v2");
        watch(entry, STREAM_MILLIS);
        assertRefused(entry, takeUp(entry, ""));
    }

    /** Links of an entry that has just started: none is known to be missing, or some are. */
    @DataProvider
    public Object[][] linkedParts() {
        return new Object[][] {{1.0, new String[0]}, {0.2, new String[] {"10.0.1.9"}}};
    }

    /** Guards against refusing a stream while the links to the sides that know it are still being opened. */
    @Test(dataProvider = "linkedParts")
    public void shouldWaitForLinksBeforeItRefuses(double linkedPart, String[] hosts) {
        DispatcherHarness entry = entry("v2");
        String requestId = beginAndLose(entry);
        FakeSides all = sides;
        sides = new FakeSides().with(hosts);
        sides.linkedPart = linkedPart;
        DispatcherHarness restarted = entry("v1", "v2");
        FakeCaller caller = takeUp(restarted, requestId);
        assertNull(caller.refusal);
        assertEquals(restarted.runners.sent.size(), 0);
        sides.join(all);
        restarted.dispatcher.tick();
        sides.answer(restarted.origins);
        restarted.dispatcher.tick();
        assertGoesOn(restarted, caller, "v2");
    }

    /** Guards against holding a caller until its deadline when the sides that know its stream do not come back. */
    @Test(dataProvider = "linkedParts")
    public void shouldRefuseSoonWhenLinksDoNotOpen(double linkedPart, String[] hosts) {
        String requestId = beginAndLose(entry("v2"));
        sides = new FakeSides().with(hosts);
        sides.linkedPart = linkedPart;
        DispatcherHarness restarted = entry("v1", "v2");
        FakeCaller caller = takeUp(restarted, requestId);
        restarted.clock.advanceMillis(LOOKUP_MILLIS + 1);
        restarted.dispatcher.tick();
        assertRefused(restarted, caller);
    }

    /** Guards against telling sides of streams that may not be taken up. */
    @Test
    public void shouldTellNobodyOfStreamsThatMayNotBeResumed() {
        DispatcherHarness entry = entry("v1");
        entry.send(DispatcherHarness.route(RouteKind.STREAMING, DispatcherHarness.PLAIN, 3, false), "");
        begin(entry);
        assertTrue(sides.sent.isEmpty());
    }
}
