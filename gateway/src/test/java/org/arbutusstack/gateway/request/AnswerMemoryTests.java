package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.model.request.RefusalReason;
import org.testng.annotations.Test;

/** Tests {@link AnswerMemory} and the replayed load of endless answers beside short ones. */
public class AnswerMemoryTests {

    private static final long MAX_BYTES = 12L * 1_024 * 1_024;

    private static final int PART_BYTES = 8_192;

    @Test
    public void shouldCountEachHolderOnce() {
        AnswerMemory<String> memory = new AnswerMemory<>(100_000);
        memory.update("a", 60_000);
        memory.update("a", 90_000);
        memory.update("b", 20_000);
        assertEquals(memory.totalBytes(), 110_000);
        assertTrue(memory.isExceeded());
        assertEquals(memory.largest(), "a");
        memory.release("a");
        memory.release("a");
        assertEquals(memory.totalBytes(), 20_000);
        memory.update("b", AnswerMemory.MIN_ACCOUNTED_BYTES - 1);
        assertEquals(memory.totalBytes(), 0);
        assertFalse(memory.isExceeded());
    }

    /** Sixty endless answers at different rates beside sound ones of up to 200 kB that come and go, ten seeds. */
    @Test
    public void shouldGiveUpOnlyEndlessAnswersInReplay() {
        for (int seed = 0; seed < 10; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            AnswerMemory<Integer> memory = new AnswerMemory<>(MAX_BYTES);
            long[] sizes = new long[60];
            TreeSet<Integer> givenUp = new TreeSet<>();
            for (int step = 0; step < 20_000; step++) {
                int holder = random.nextInt(sizes.length);
                sizes[holder] += (long) PART_BYTES * random.nextInt(4);
                memory.update(holder, sizes[holder]);
                int sound = sizes.length + random.nextInt(20);
                memory.update(sound, random.nextInt(200_000));
                while (memory.isExceeded()) {
                    int largest = memory.largest();
                    memory.release(largest);
                    givenUp.add(largest);
                    if (largest < sizes.length) {
                        sizes[largest] = 0;
                    }
                }
                assertTrue(memory.totalBytes() <= MAX_BYTES);
            }
            assertTrue(givenUp.size() > 0 && givenUp.last() < sizes.length, "seed " + seed + ": " + givenUp);
        }
    }

    /** Guards against endless answers, each of them bounded, exhausting the memory of the process together. */
    @Test
    public void shouldServeShortAnswersWhenManyAnswersNeverEnd() {
        DispatcherHarness harness = new DispatcherHarness(RetryLimits.ofFleet(1, 160), 1_000_000);
        harness.runner("a", DispatcherHarness.PLAIN);
        List<FakeRunners.Sent> endless = new ArrayList<>();
        List<FakeCaller> callers = new ArrayList<>();
        for (int index = 0; index < 20; index++) {
            callers.add(harness.send(RouteKind.UNSAFE, false));
            endless.add(harness.runners.last());
            harness.runners.last().head(200, AnswerKind.ATTESTED, false);
        }
        int served = 0;
        for (int round = 0; round < 40; round++) {
            for (FakeRunners.Sent each : endless) {
                each.bytes("x".repeat(PART_BYTES));
            }
            FakeCaller caller = harness.send(RouteKind.UNSAFE, false);
            harness.runners.last().answer(200, AnswerKind.ATTESTED, "y".repeat(800));
            served += caller.body.length() == 800 && caller.ended ? 1 : 0;
        }
        long held = endless.stream().filter(each -> !each.cancelled).count() * 40L * PART_BYTES;
        assertEquals(served, 40);
        assertTrue(held <= 1_000_000, held + " bytes held");
        assertTrue(callers.stream()
                .filter(caller -> caller.refusal != null)
                .allMatch(caller -> caller.refusal.reason() == RefusalReason.ANSWER_TOO_LARGE));
    }
}
