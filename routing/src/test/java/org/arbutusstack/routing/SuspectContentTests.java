package org.arbutusstack.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.testng.annotations.Test;

/** Tests which requests are refused because of messages that they share with others. */
public class SuspectContentTests {

    private static final long LEFT_NANOS = 1_000_000_000_000L;

    private final ManualClock clock = new ManualClock(1_000_000_000L);

    private static byte[] body(String... messages) {
        String joined = String.join("\"},{\"role\":\"user\",\"content\":\"", messages);
        return ("{\"messages\":[{\"role\":\"user\",\"content\":\"" + joined + "\"}]}").getBytes(StandardCharsets.UTF_8);
    }

    private SuspectContent struckBy(byte[]... lost) {
        SuspectContent suspects = new SuspectContent(100);
        for (byte[] body : lost) {
            clock.advanceMillis(1_000);
            long nowNanos = clock.nowNanos();
            for (String key : PromptMessages.keysOf(body)) {
                suspects.add(new Strike(key, "loss" + nowNanos, nowNanos - 1, nowNanos, nowNanos + LEFT_NANOS));
            }
        }
        return suspects;
    }

    private boolean isRefused(SuspectContent suspects, byte[] body) {
        return suspects.messageRule(body, clock.nowNanos()).isPresent();
    }

    @Test
    public void shouldFindKeysOfAllMessagesButTheLast() {
        assertEquals(PromptMessages.keysOf(body("a", "b", "c")).size(), 2);
        assertEquals(
                PromptMessages.keysOf(body("a", "b", "c")).get(0),
                PromptMessages.keysOf(body("a", "x")).get(0));
        assertEquals(PromptMessages.keysOf(body("a")), List.of());
        assertEquals(PromptMessages.keysOf("no json".getBytes(StandardCharsets.UTF_8)), List.of());
        assertEquals(PromptMessages.keysOf("{\"messages\":7}".getBytes(StandardCharsets.UTF_8)), List.of());
        assertEquals(PromptMessages.keysOf(new byte[0]), List.of());
    }

    /** Guards against requests of which no two are alike crashing one engine after the other. */
    @Test
    public void shouldRefuseDifferentRequestsByHarmfulMessageThatTheyShare() {
        SuspectContent suspects =
                struckBy(body("policy", "bad", "one"), body("policy", "bad", "two"), body("other", "bad", "three"));
        assertTrue(isRefused(suspects, body("policy", "bad", "four")));
        assertFalse(isRefused(suspects, body("policy", "four")));
        assertFalse(isRefused(suspects, body("bad")), "the last message is the request's own");
    }

    @Test
    public void shouldNarrowRuleWhenOneOfItsMessagesIsAnswered() {
        SuspectContent suspects =
                struckBy(body("policy", "bad", "one"), body("policy", "bad", "two"), body("policy", "bad", "three"));
        assertFalse(isRefused(suspects, body("policy", "four")));
        assertEquals(suspects.answerBegun(body("policy", "four")).size(), 1);
        assertTrue(isRefused(suspects, body("x", "bad", "five")));
    }

    @Test
    public void shouldRetractStrikesOfOneLossOrOfAll() {
        SuspectContent suspects = struckBy(body("bad", "one"), body("bad", "two"), body("bad", "three"));
        String key = PromptMessages.keysOf(body("bad", "x")).get(0);
        assertEquals(suspects.frames(clock).size(), 3);
        assertFalse(suspects.retract(StrikeFrame.retraction(key, "unknown")));
        assertTrue(suspects.retract(
                StrikeFrame.retraction(key, suspects.frames(clock).get(0).incident())));
        assertFalse(isRefused(suspects, body("bad", "x")));
        assertTrue(suspects.retract(StrikeFrame.retraction(key, "")));
        assertTrue(suspects.isEmpty());
    }
}
