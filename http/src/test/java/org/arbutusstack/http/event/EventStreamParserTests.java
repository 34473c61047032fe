package org.arbutusstack.http.event;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link EventStreamParser}. */
public class EventStreamParserTests {

    private static final int MAX_BYTES = 100;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static List<String> texts(EventStreamParser.Result result) {
        return result.events().stream()
                .map(event -> new String(event.bytes(), StandardCharsets.ISO_8859_1))
                .toList();
    }

    @DataProvider
    public Object[][] events() {
        return new Object[][] {
            {"id: 1\ndata: a\n\n", "1", true},
            {"id:1\r\ndata: a\r\n\r\n", "1", true},
            {"weight-versions: 3\nid: 7\ndata: a\n\n", "7", true},
            {"data: a\ndata: b\n\n", "", true},
            {"event: done\nid: 2\nretry: 5\ndata:\n\n", "2", true},
            {"id: 1\n\n", "1", false},
            {"id: 1\ndata: \u00c3\u00a4\t{\"x\":1}\n\n", "1", true},
        };
    }

    @Test(dataProvider = "events")
    public void shouldFindEventHoweverItIsSplit(String text, String id, boolean hasData) {
        byte[] twice = bytes(text + text);
        for (int split = 0; split <= twice.length; split++) {
            EventStreamParser parser = new EventStreamParser(MAX_BYTES);
            List<ServerSentEvent> events = new ArrayList<>();
            for (byte[] part : List.of(Arrays.copyOf(twice, split), Arrays.copyOfRange(twice, split, twice.length))) {
                EventStreamParser.Result result = parser.parse(part);
                assertFalse(result.isRejected(), result.fault());
                events.addAll(result.events());
            }
            assertEquals(events.size(), 2);
            assertEquals(events.get(1).id(), id);
            assertEquals(events.get(1).hasData(), hasData);
            assertEquals(events.get(1).bytes(), bytes(text));
            assertFalse(parser.isWithinEvent());
        }
    }

    @DataProvider
    public Object[][] garbage() {
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore"},
            {"\n"},
            {"\r\n"},
            {"#"},
            {"no field\n"},
            {"nofield\n"},
            {": comment\n"},
            {"x".repeat(40)},
            {"-x: 1\n"},
            {"id: 1\rdata: a\n"},
            {"id: 1\ndata: \u0000"},
            {"id: 1\ndata: \u007f"},
            {"id: 1\ndata: \u00ff\n\n"},
            {"id: 1\nid: 2\n"},
            {"id: 1\ndaid: 2\n"},
            {"\u0000\u0001\u0002"},
        };
    }

    /** Guards against bytes that are no event being taken for one because a blank line follows. */
    @Test(dataProvider = "garbage")
    public void shouldRejectBytesThatAreNoEventAndKeepEventsBefore(String garbage) {
        String sound = "id: 1\ndata: a\n\n";
        EventStreamParser parser = new EventStreamParser(MAX_BYTES);
        EventStreamParser.Result result = parser.parse(bytes(sound + garbage));
        assertTrue(result.isRejected());
        assertFalse(result.isTooLong());
        assertEquals(texts(result), List.of(sound));
    }

    @Test
    public void shouldRejectEventThatIsTooLong() {
        EventStreamParser parser = new EventStreamParser(MAX_BYTES);
        EventStreamParser.Result result = parser.parse(bytes("data: " + "a".repeat(MAX_BYTES)));
        assertTrue(result.isRejected() && result.isTooLong());
        assertEquals(texts(result), List.of());
    }

    @Test
    public void shouldBeWithinEventUntilItsBlankLine() {
        String text = "id: 1\ndata: a\n\n";
        EventStreamParser parser = new EventStreamParser(MAX_BYTES);
        assertFalse(parser.isWithinEvent());
        for (int index = 0; index < text.length() - 1; index++) {
            parser.parse(bytes(text.substring(index, index + 1)));
            assertTrue(parser.isWithinEvent());
        }
    }
}
