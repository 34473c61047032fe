package org.arbutusstack.http.response;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ResponseParser}. */
public class ResponseParserTests {

    private static final int MUTATIONS_PER_SEED = 4_000;

    private static final String SIZED =
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Note: a b\r\nContent-Length: 5\r\n\r\nhello";

    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Note: a\r\n\r\n"
            + "3\r\nhel\r\n2;a=b\r\nlo\r\n0\r\nX-Sum: 1\r\n\r\n";

    private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

    /** The grammar of a head, written down a second time as a regular expression. */
    private static final Pattern HEAD =
            Pattern.compile("(?s)(HTTP/1\\.[0-9] [1-5][0-9][0-9] [\\t\\x20-\\x7e\\x80-\\xff]*"
                    + "\\r\\n([!#$%&'*+.^_`|~0-9A-Za-z-]++:[\\t\\x20-\\x7e\\x80-\\xff]*+\\r\\n)*+\\r\\n)+.*");

    /** What a parser made of some bytes. */
    private static final class Outcome implements ResponseParser.Handler {

        private final StringBuilder seen = new StringBuilder();

        private final StringBuilder content = new StringBuilder();

        private String rejection = "";

        @Override
        public void onHead(int status, Map<String, String> headers) {
            seen.append(status).append(headers);
        }

        @Override
        public void onContent(byte[] bytes) {
            content.append(new String(bytes, StandardCharsets.ISO_8859_1));
        }

        boolean isRejected() {
            return !rejection.isEmpty();
        }

        @Override
        public String toString() {
            // What a rejection says of a line depends on how much of the line had arrived.
            return seen + " " + content + " " + isRejected();
        }
    }

    private static Outcome parse(String bytes, int partBytes) {
        return parse("GET", bytes, partBytes);
    }

    private static Outcome parse(String method, String text, int partBytes) {
        Outcome outcome = new Outcome();
        ResponseParser parser = new ResponseParser(method, outcome);
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        try {
            for (int start = 0; start < bytes.length && !parser.isComplete(); start += partBytes) {
                parser.parse(ByteBuffer.wrap(bytes, start, Math.min(partBytes, bytes.length - start)));
            }
        } catch (ResponseFormatException malformed) {
            outcome.rejection = malformed.getMessage();
        }
        outcome.seen.append(parser.isComplete()).append(parser.isCompleteAtEndOfConnection());
        return outcome;
    }

    private static String mutate(String text, Random random) {
        StringBuilder mutated = new StringBuilder(text);
        String special = "\r\n\t :;,=\"\\+-0123456789aAxX\u0000\u0001\u007f\u0080\u00ff";
        for (int count = 1 + random.nextInt(2); count > 0; count--) {
            int index = random.nextInt(mutated.length());
            char next = special.charAt(random.nextInt(special.length()));
            switch (random.nextInt(4)) {
                case 0 -> mutated.setCharAt(index, next);
                case 1 -> mutated.insert(index, next);
                case 2 -> mutated.deleteCharAt(index);
                default -> mutated.insert(index, mutated.substring(index / 2, index));
            }
        }
        return mutated.toString();
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    /** Guards against a head that is none by the grammar, and against verdicts that depend on how bytes arrive. */
    @Test(dataProvider = "seeds")
    public void shouldAcceptOnlyWhatConformsHoweverItsBytesArrive(long seed) {
        Random random = new Random(seed);
        int accepted = 0;
        for (int count = 0; count < MUTATIONS_PER_SEED; count++) {
            String base = random.nextBoolean() ? SIZED : CHUNKED;
            String mutated = mutate(random.nextInt(4) == 0 ? INTERIM + base : base, random);
            Outcome whole = parse(mutated, mutated.length());
            assertEquals(parse(mutated, 1).toString(), whole.toString(), mutated);
            assertEquals(parse(mutated, 1 + random.nextInt(20)).toString(), whole.toString(), mutated);
            boolean headSeen = whole.seen.charAt(0) != 'f';
            assertFalse(headSeen && !HEAD.matcher(mutated).matches(), mutated);
            accepted += headSeen ? 1 : 0;
        }
        assertTrue(accepted > MUTATIONS_PER_SEED / 10, accepted + " accepted");
    }

    @Test
    public void shouldFindContentOfProperResponses() {
        assertEquals(parse(SIZED, 7).content.toString(), "hello");
        assertEquals(parse(CHUNKED, 7).content.toString(), "hello");
        assertEquals(parse(INTERIM + INTERIM + CHUNKED, 7).content.toString(), "hello");
    }

    @DataProvider
    public Object[][] withoutContent() {
        return new Object[][] {
            {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
            {"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
            {"HEAD", "HTTP/1.1 200 OK\r\n\r\n"},
            {"GET", "HTTP/1.1 204 No Content\r\n\r\n"},
            {"GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"},
            {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
            {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}
        };
    }

    /** Guards against waiting for a body that never comes, and against reading the next response as one. */
    @Test(dataProvider = "withoutContent")
    public void shouldEndWithHeadWhenResponseHasNoContent(String method, String head) throws ResponseFormatException {
        Outcome outcome = new Outcome();
        ResponseParser parser = new ResponseParser(method, outcome);
        ByteBuffer bytes = ByteBuffer.wrap((head + "HTTP").getBytes(StandardCharsets.ISO_8859_1));
        parser.parse(bytes);
        assertTrue(parser.isComplete());
        assertEquals(bytes.remaining(), 4);
        assertEquals(outcome.content.length(), 0);
    }

    @DataProvider
    public Object[][] persistence() {
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\n", true},
            {"HTTP/1.1 200 OK\r\nConnection: close\r\n", false},
            {"HTTP/1.1 200 OK\r\nConnection: Close\r\n", false},
            {"HTTP/1.1 200 OK\r\nConnection: x-other , close\r\n", false},
            {"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nConnection: close\r\n", false},
            {"HTTP/1.0 200 OK\r\n", false},
            {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n", true}
        };
    }

    /** Guards against a request being sent on a connection that the server is about to close. */
    @Test(dataProvider = "persistence")
    public void shouldTellWhetherServerKeepsConnection(String head, boolean kept) throws ResponseFormatException {
        ResponseParser parser = new ResponseParser("GET", new Outcome());
        parser.parse(ByteBuffer.wrap((head + "Content-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1)));
        assertEquals(parser.keepsConnection(), kept);
    }

    @DataProvider
    public Object[][] endless() {
        return new Object[][] {
            {"HTTP/1.1 200 ", "x".repeat(1_000)},
            {"HTTP/1.1 200 OK\r\nX-Long: ", "x".repeat(1_000)},
            {"HTTP/1.1 200 OK\r\n", "X-Line: " + "x".repeat(1_000) + "\r\n"},
            {"HTTP/1.1 200 OK\r\n", "X:\r\n"},
            {"", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", "0".repeat(1_000)},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-Line: x\r\n"}
        };
    }

    /** Guards against keeping heads, sizes of chunks or trailers without end until the memory is exhausted. */
    @Test(dataProvider = "endless")
    public void shouldRejectWhatSurroundsContentWhenItNeverEnds(String start, String repeated) {
        ResponseParser parser = new ResponseParser("GET", new Outcome());
        int parts = 2 + (ResponseParser.MAX_HEAD_BYTES + ResponseParser.MAX_FRAMING_BYTES) / repeated.length();
        assertThrows(ResponseFormatException.class, () -> {
            parser.parse(ByteBuffer.wrap(start.getBytes(StandardCharsets.ISO_8859_1)));
            for (int count = 0; count < parts; count++) {
                parser.parse(ByteBuffer.wrap(repeated.getBytes(StandardCharsets.ISO_8859_1)));
            }
        });
    }

    /** Guards against waiting for the end of a line that a server which sends something else never ends. */
    @Test
    public void shouldRejectWhatIsNoStatusLineBeforeLineEnds() {
        assertTrue(parse("SSH-2.0-server", 1).isRejected());
        assertTrue(parse("HTTP/1.1 9", 1).isRejected());
        assertFalse(parse("HTTP/1.1 2", 1).isRejected());
    }
}
