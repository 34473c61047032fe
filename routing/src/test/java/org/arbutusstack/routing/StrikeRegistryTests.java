package org.arbutusstack.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests for {@link StrikeRegistry}, with requests that crash engines. */
public class StrikeRegistryTests {

    private static Strike strike(String digest, String incident) {
        return new Strike(digest, incident, 0, 0, 100);
    }

    @Test
    public void shouldRefuseOnlyWhenTwoEnginesWereLost() {
        StrikeRegistry registry = new StrikeRegistry(10, StrikePolicy.ISOLATED_REQUEST);
        assertFalse(registry.isSuspect("d", 0));
        assertTrue(registry.add(strike("d", "one")));
        assertFalse(registry.add(strike("d", "one")));
        assertTrue(registry.isSuspect("d", 0));
        assertFalse(registry.isRefused("d", 0));
        registry.add(strike("d", "two"));
        assertTrue(registry.isRefused("d", 0));
    }

    @Test
    public void shouldForgetWhenStrikesExpireOrAreTakenBack() {
        StrikeRegistry registry = new StrikeRegistry(10, StrikePolicy.ISOLATED_REQUEST);
        registry.add(strike("d", "one"));
        registry.add(strike("d", "two"));
        registry.withdraw("d", "two");
        assertFalse(registry.isRefused("d", 99));
        assertTrue(registry.isSuspect("d", 99));
        assertFalse(registry.isSuspect("d", 100));
        assertTrue(registry.isEmpty());
    }

    @Test
    public void shouldStayBoundedWhenManyRequestsAreStruck() {
        StrikeRegistry registry = new StrikeRegistry(10, StrikePolicy.ISOLATED_REQUEST);
        for (int number = 0; number < 1_000; number++) {
            registry.add(strike("d" + number, "one"));
        }
        assertEquals(registry.size(), 10);
        assertTrue(registry.isSuspect("d999", 0));
    }

    private static StrikeRegistry sharedContent() {
        return new StrikeRegistry(100, StrikePolicy.SHARED_CONTENT);
    }

    /** Strike a key by a request that was sent just before its engine was lost. */
    private static void strike(StrikeRegistry registry, String key, long struckAtNanos) {
        registry.add(new Strike(key, "loss" + struckAtNanos, struckAtNanos - 5, struckAtNanos, 10_000));
    }

    @Test
    public void shouldRefuseSharedContentOnlyWhenThreeSeparateLossesStruckIt() {
        StrikeRegistry registry = sharedContent();
        strike(registry, "p", 100);
        strike(registry, "p", 200);
        assertFalse(registry.isRefused("p", 300));
        strike(registry, "p", 300);
        assertTrue(registry.isRefused("p", 300));
        assertEquals(registry.rules(300).get(0).strikes(), 3);
        assertFalse(registry.isRefused("p", 10_000));
    }

    /** Guards against a power failure that ends many engines at once making content look harmful. */
    @Test
    public void shouldNotRefuseSharedContentWhenManyEnginesAreLostAtOnce() {
        StrikeRegistry registry = sharedContent();
        for (int engine = 0; engine < 8; engine++) {
            registry.add(new Strike("p", "loss" + engine, 90 + engine, 100 + engine, 10_000));
        }
        assertFalse(registry.isRefused("p", 200));
    }

    /** Guards against copies of a request that crash engines side by side counting as one crash. */
    @Test
    public void shouldRefuseRequestWhoseCopiesCrashedEnginesShortlyAfterEachOther() {
        StrikeRegistry registry = sharedContent();
        for (long engine = 0; engine < 3; engine++) {
            long struckAtNanos = 100_000_000 + engine * 26_000_000;
            for (String key : List.of("request:a", "part:a")) {
                registry.add(new Strike(key, "loss" + engine, 90_000_000, struckAtNanos, 10_000_000_000L));
            }
        }
        assertTrue(registry.isRefused("request:a", 200_000_000));
        assertFalse(registry.isRefused("part:a", 200_000_000), "shared content is always in flight somewhere");
    }

    /** Guards against a request that all engines ran when a power failure ended them being refused. */
    @Test
    public void shouldNotRefuseRequestWhenEnginesThatRanItsCopiesAreLostTogether() {
        StrikeRegistry registry = sharedContent();
        for (long engine = 0; engine < 8; engine++) {
            long struckAtNanos = 100_000_000 + engine * 2_000_000;
            registry.add(new Strike("request:a", "loss" + engine, 90_000_000, struckAtNanos, 10_000_000_000L));
        }
        assertFalse(registry.isRefused("request:a", 200_000_000));
    }

    /** Guards against the losses of a whole site filling the memory for content that crashes engines afterwards. */
    @Test
    public void shouldRefuseSharedContentThatCrashesEnginesAfterManyWereLostAtOnce() {
        StrikeRegistry registry = sharedContent();
        for (int engine = 0; engine < 40; engine++) {
            registry.add(new Strike("p", "together" + engine, 90, 100 + engine, 10_000));
        }
        strike(registry, "p", 300);
        assertFalse(registry.isRefused("p", 400));
        strike(registry, "p", 500);
        assertTrue(registry.isRefused("p", 600));
    }

    /** Guards against content that was twice beside the harmful content being refused with it. */
    @Test
    public void shouldNotRefuseContentWhoseLossesOtherContentExplains() {
        StrikeRegistry registry = sharedContent();
        for (long loss = 100; loss <= 400; loss += 100) {
            strike(registry, "harmful", loss);
        }
        for (long loss = 100; loss <= 300; loss += 100) {
            strike(registry, "beside", loss);
        }
        assertTrue(registry.isRefused("harmful", 500));
        assertFalse(registry.isRefused("beside", 500));
    }

    /** Guards against sound content being refused alone as long as nothing tells it from the harmful content. */
    @Test
    public void shouldRefuseOnlyTogetherWhenContentWasStruckInTheSameLosses() {
        StrikeRegistry registry = sharedContent();
        for (long loss = 100; loss <= 300; loss += 100) {
            strike(registry, "harmful", loss);
            strike(registry, "beside", loss);
        }
        assertFalse(registry.isRefused("beside", 300));
        assertFalse(registry.isRefused("harmful", 300));
        QuarantineRule rule = registry.rules(300).get(0);
        assertTrue(rule.refuses(Set.of("beside", "harmful", "other")));
        assertEquals(registry.clear("beside").size(), 3);
        assertTrue(registry.isRefused("harmful", 300));
    }

    /** Strike a request, and the answer to it, in losses that are 100 ms apart. */
    private static void strikeRequest(StrikeRegistry registry, String request, int... losses) {
        for (int loss : losses) {
            long struckAtNanos = loss * 100_000_000L;
            for (String key : List.of("request:" + request, "answer:" + request)) {
                registry.add(
                        new Strike(key, "loss" + loss, struckAtNanos - 50_000_000, struckAtNanos, 10_000_000_000L));
            }
        }
    }

    private static boolean isRequestRefused(StrikeRegistry registry, String request) {
        return registry.rules(2_000_000_000).stream()
                .anyMatch(rule -> rule.refuses(Set.of("part:p", "request:" + request, "answer:" + request)));
    }

    /** Guards against a rule that needs the keys of two requests, which refuses neither. */
    @Test
    public void shouldRefuseEachRequestWhenTwoWereLostInTheSameCrashes() {
        StrikeRegistry registry = sharedContent();
        strikeRequest(registry, "harmful", 1, 2, 3);
        strikeRequest(registry, "beside", 1, 2, 3);
        assertTrue(isRequestRefused(registry, "harmful"));
        assertTrue(isRequestRefused(registry, "beside"));
    }

    /** Guards against a request that was lost as often as another explaining the crashes of that one. */
    @Test
    public void shouldRefuseRequestWhenAnotherWithAsManyStrikesExplainsOnlySomeOfItsCrashes() {
        StrikeRegistry registry = sharedContent();
        strikeRequest(registry, "sound", 1, 2, 3);
        strikeRequest(registry, "harmful", 2, 3, 4);
        assertTrue(isRequestRefused(registry, "harmful"));
    }

    /** Guards against a second harmful request having to crash three more engines once the first is refused. */
    @Test
    public void shouldRefuseSecondHarmfulRequestAtItsNextCrashWhenTheFirstExplainedEarlierOnes() {
        StrikeRegistry registry = sharedContent();
        strikeRequest(registry, "first", 1, 2, 3, 4, 5);
        strikeRequest(registry, "second", 3, 4, 5);
        assertFalse(isRequestRefused(registry, "second"));
        strikeRequest(registry, "second", 6);
        assertTrue(isRequestRefused(registry, "second"));
    }

    /** Guards against a popular request that was in flight beside a harmful one being refused with it. */
    @Test
    public void shouldNotRefuseAnsweredRequestWhenHarmfulOneExplainsMostOfItsCrashes() {
        StrikeRegistry registry = new StrikeRegistry(100, StrikePolicy.SHARED_CONTENT, key -> key.endsWith("popular"));
        strikeRequest(registry, "harmful", 1, 2, 3);
        strikeRequest(registry, "popular", 1, 2, 4);
        assertTrue(isRequestRefused(registry, "harmful"));
        assertFalse(isRequestRefused(registry, "popular"));
    }

    /** Guards against a sound request that is lost beside two harmful ones in turn being refused with them. */
    @Test
    public void shouldNotRefuseRequestWhoseCrashesTwoOthersExplainTogether() {
        StrikeRegistry registry = sharedContent();
        strikeRequest(registry, "first", 1, 2, 3, 4);
        strikeRequest(registry, "second", 5, 6, 7, 8);
        strikeRequest(registry, "beside", 3, 4, 5);
        assertTrue(isRequestRefused(registry, "first"));
        assertTrue(isRequestRefused(registry, "second"));
        assertFalse(isRequestRefused(registry, "beside"));
        assertEquals(registry.explainedKeys(2_000_000_000), Set.of("request:beside", "answer:beside"));
    }

    private static void strikeSideBySide(StrikeRegistry registry, String request) {
        for (long engine = 0; engine < 3; engine++) {
            long struckAtNanos = 100_000_000 + engine * 5_000_000;
            registry.add(new Strike("request:" + request, "loss" + engine, 50_000_000, struckAtNanos, 10_000_000_000L));
        }
    }

    /** Guards against copies that crash engines side by side being sent as freely as before. */
    @Test
    public void shouldBeUndecidedWhenCopiesOfRequestAreLostSideBySide() {
        StrikeRegistry registry = sharedContent();
        strikeSideBySide(registry, "a");
        assertFalse(isRequestRefused(registry, "a"));
        assertTrue(registry.isUndecided("request:a", 200_000_000));
        registry.clear("request:a");
        assertFalse(registry.isUndecided("request:a", 200_000_000));
    }

    /** Guards against a request that most callers send being held up by a failure of all engines. */
    @Test
    public void shouldNotBeUndecidedWhenRequestWasAnsweredBefore() {
        StrikeRegistry registry =
                new StrikeRegistry(100, StrikePolicy.SHARED_CONTENT, key -> key.equals("request:popular"));
        strikeSideBySide(registry, "popular");
        assertFalse(registry.isUndecided("request:popular", 200_000_000));
    }

    /** Guards against the crash that two isolated requests have in common clearing one of them. */
    @Test
    public void shouldRefuseIsolatedRequestWhenItsFirstLossWasBesideAnother() {
        StrikeRegistry registry = new StrikeRegistry(10, StrikePolicy.ISOLATED_REQUEST);
        for (String digest : List.of("a", "b")) {
            registry.add(strike(digest, "together"));
            registry.add(strike(digest, "alone-" + digest));
        }
        assertTrue(registry.isRefused("a", 0));
        assertTrue(registry.isRefused("b", 0));
    }
}
