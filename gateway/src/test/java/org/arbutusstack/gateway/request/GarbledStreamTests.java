package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.gateway.config.RouteKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that of the bytes of faulty runners only events that continue the stream reach its caller. */
public class GarbledStreamTests {

    private static final String SOUND = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    private static final String REST = "id: 3\ndata: c\n\n";

    private static final List<String> GARBAGE = List.of(
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore",
            "\n\n",
            "\r\n\r\n",
            "bytes that are no answer\n\n",
            "\u0000\u0001garbage\n\n",
            ": comment\n\n",
            "data: x\n\n",
            "id: \ndata: x\n\n",
            "id: seven\ndata: x\n\n",
            "id: 99999999999999999999\ndata: x\n\n",
            "id: -3\ndata: x\n\n",
            "id: 2\ndata: b\n\n",
            "id: 1\ndata: a\n\n",
            "id: 3\n\n",
            "id: 3\ndaid: 4\ndata: x\n\n",
            "id: 3id: 4\ndata: x\n\n",
            "id: 3\ndata: \u0007\n\n",
            "id: 3\nda");

    private static DispatcherHarness harness() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.runner("a", DispatcherHarness.PLAIN);
        harness.runner("b", DispatcherHarness.PLAIN);
        harness.earnRetries(20);
        return harness;
    }

    /** Each garbage, by an answer whose end is marked or not, as a whole or byte by byte. */
    @DataProvider
    public Object[][] garbage() {
        List<Object[]> rows = new ArrayList<>();
        for (String garbage : GARBAGE) {
            for (boolean framed : new boolean[] {true, false}) {
                rows.add(new Object[] {garbage, framed, 1});
                rows.add(new Object[] {garbage, framed, 1_000});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    private static void send(FakeRunners.Sent attempt, boolean framed, String text, int partLength) {
        attempt.streamHead(framed);
        for (int start = 0; start < text.length(); start += partLength) {
            attempt.bytes(text.substring(start, Math.min(text.length(), start + partLength)));
        }
        attempt.end();
    }

    /** Guards against bytes that no run made reaching a caller as an event of a stream that may not be resumed. */
    @Test(dataProvider = "garbage")
    public void shouldAbortStreamAfterItsLastSoundEvent(String garbage, boolean framed, int partLength) {
        DispatcherHarness harness = harness();
        FakeCaller caller = harness.send(RouteKind.STREAMING, false);
        send(harness.runners.last(), framed, SOUND + garbage, partLength);
        assertEquals(caller.body.toString(), SOUND);
        assertTrue(caller.aborted);
        assertFalse(caller.ended);
    }

    /** Guards against bytes that no run made reaching a caller as an event of a stream that is resumed. */
    @Test(dataProvider = "garbage")
    public void shouldResumeStreamAfterItsLastSoundEvent(String garbage, boolean framed, int partLength) {
        DispatcherHarness harness = harness();
        FakeCaller caller = harness.send(RouteKind.STREAMING, true);
        send(harness.runners.last(), framed, SOUND + garbage, partLength);
        assertEquals(harness.runners.last().lastEventId, "2");
        send(harness.runners.last(), framed, REST, partLength);
        assertEquals(caller.body.toString(), SOUND + REST);
        assertTrue(caller.ended);
    }

    /** Guards against bytes that no run made reaching a caller from the runner that resumes a stream. */
    @Test(dataProvider = "garbage")
    public void shouldRejectGarbageOfRunnerThatResumesStream(String garbage, boolean framed, int partLength) {
        DispatcherHarness harness = harness();
        FakeCaller caller = harness.send(RouteKind.STREAMING, true);
        send(harness.runners.last(), framed, SOUND + "#", partLength);
        send(harness.runners.last(), framed, garbage, partLength);
        assertEquals(caller.body.toString(), SOUND);
        assertFalse(caller.ended);
    }

    /** Guards against events that the caller has already reaching it again when its runner ignores the position. */
    @Test
    public void shouldRejectEventsThatCallerHas() {
        DispatcherHarness harness = harness();
        harness.resumedEventId = "2";
        FakeCaller caller = harness.send(RouteKind.STREAMING, true);
        send(harness.runners.last(), true, SOUND + REST, 1_000);
        send(harness.runners.last(), true, REST, 1_000);
        assertEquals(caller.body.toString(), REST);
        assertTrue(caller.ended);
    }

    @Test
    public void shouldRelayFieldsThatPrecedeTheIdentifier() {
        DispatcherHarness harness = harness();
        FakeCaller caller = harness.send(RouteKind.STREAMING, false);
        String text = SOUND + "weight-versions: 4\nid: 5\ndata: c\n\n";
        send(harness.runners.last(), true, text, 1_000);
        assertEquals(caller.body.toString(), text);
        assertTrue(caller.ended);
    }
}
