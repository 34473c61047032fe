package org.arbutusstack.gateway.pressure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link MemoryAccount} and the replayed load of uploads beside answers that nobody reads. */
public class MemoryAccountTests {

    private static final long MEGABYTE = 1_000_000;

    private static final long MAX_BYTES = 36 * MEGABYTE;

    private ManualClock clock;

    private MemoryAccount account;

    private List<String> ended;

    @BeforeMethod
    public void reset() {
        clock = new ManualClock(1_000_000_000L);
        account = new MemoryAccount(MAX_BYTES, clock);
        ended = new ArrayList<>();
    }

    private MemoryAccount.Holding open(HoldingKind kind, String name, long bytes) {
        MemoryAccount.Holding holding = account.open(kind, name, () -> ended.add(name));
        holding.hold(bytes);
        return holding;
    }

    /** Guards against bodies taking the memory that the answers to requests that have run need. */
    @Test
    public void shouldAdmitBodiesOnlyUpToTheirShare() {
        account.add(HoldingKind.BODY, 20 * MEGABYTE);
        assertTrue(account.admitsBody(4 * MEGABYTE));
        open(HoldingKind.UPLOAD, "a", 4 * MEGABYTE);
        assertFalse(account.admitsBody(1));
        account.add(HoldingKind.BODY, -20 * MEGABYTE);
        open(HoldingKind.UNREAD, "b", 30 * MEGABYTE);
        assertFalse(account.admitsBody(4 * MEGABYTE));
        assertTrue(account.admitsBody(2 * MEGABYTE));
    }

    /** Guards against ending an answer that is being read in place of one that nobody reads. */
    @Test
    public void shouldEndWhatHoldsMostForLeastProgress() {
        MemoryAccount.Holding read = open(HoldingKind.UNREAD, "read", 14 * MEGABYTE);
        MemoryAccount.Holding unread = open(HoldingKind.UNREAD, "unread", 12 * MEGABYTE);
        account.add(HoldingKind.BODY, 11 * MEGABYTE);
        read.moved(MEGABYTE);
        unread.moved(1);
        assertSame(account.excess().orElseThrow(), unread);
        clock.advanceMillis(3_000);
        assertSame(account.excess().orElseThrow(), read);
        read.end();
        read.hold(5);
        assertEquals(ended, List.of("read"));
        assertEquals(account.totalBytes(), 23 * MEGABYTE);
        assertEquals(account.excess(), Optional.empty());
    }

    /** Guards against callers that announce a large body and send next to nothing keeping others out. */
    @Test
    public void shouldReportStalledUploadOnlyWhenItsCallerSendsNextToNothing() {
        MemoryAccount.Holding upload = open(HoldingKind.UPLOAD, "a", 4 * MEGABYTE);
        assertEquals(account.stalledUpload(), Optional.empty());
        for (int second = 0; second < 5; second++) {
            upload.moved(100_000);
            clock.advanceMillis(1_000);
            assertEquals(account.stalledUpload(), Optional.empty());
        }
        for (int second = 0; second < 3; second++) {
            upload.moved(1);
            clock.advanceMillis(1_000);
        }
        assertSame(account.stalledUpload().orElseThrow(), upload);
    }

    /** Guards against refused callers returning long before memory is released, or long after. */
    @Test
    public void shouldDeriveRetryAfterFromReleasedBytes() {
        assertEquals(account.retryAfterMillis(4 * MEGABYTE), 2_000);
        account.add(HoldingKind.BODY, 20 * MEGABYTE);
        account.add(HoldingKind.BODY, -8 * MEGABYTE);
        assertEquals(account.retryAfterMillis(4 * MEGABYTE), 500);
        account.add(HoldingKind.BODY, -12 * MEGABYTE);
        assertEquals(account.retryAfterMillis(4 * MEGABYTE), 250);
    }

    /**
     * Uploads of up to 4 MB that run for a while, streams that nobody reads and streams that are read, ten seeds: the
     * bound always holds, and no stream that is read ends.
     */
    @Test
    public void shouldKeepBoundInReplayAndEndOnlyWhatNobodyReads() {
        for (int seed = 0; seed < 10; seed++) {
            reset();
            SplittableRandom random = new SplittableRandom(seed);
            MemoryAccount.Holding[] streams = new MemoryAccount.Holding[60];
            List<Long> bodies = new ArrayList<>();
            int refused = 0;
            for (int step = 0; step < 5_000; step++) {
                clock.advanceMillis(10);
                long body = random.nextLong(4 * MEGABYTE);
                if (account.admitsBody(body)) {
                    account.add(HoldingKind.BODY, body);
                    bodies.add(body);
                } else {
                    refused++;
                }
                if (!bodies.isEmpty() && random.nextInt(3) > 0) {
                    account.add(HoldingKind.BODY, -bodies.remove(0));
                }
                int index = random.nextInt(streams.length);
                boolean isRead = index % 2 == 0;
                if (streams[index] == null || !isRead && streams[index].bytes() == 0) {
                    streams[index] = open(HoldingKind.UNREAD, isRead ? "read" : "unread", 0);
                }
                streams[index].hold(isRead ? random.nextLong(300_000) : streams[index].bytes() + 200_000);
                streams[index].moved(isRead ? 150_000 : 1);
                for (Optional<MemoryAccount.Holding> excess = account.excess();
                        excess.isPresent();
                        excess = account.excess()) {
                    excess.get().end();
                }
                assertTrue(account.totalBytes() <= MAX_BYTES);
            }
            assertTrue(refused > 0 && ended.size() > 0);
            assertFalse(ended.contains("read"), "seed " + seed + ": a stream that was read ended");
        }
    }

    /** Guards against bytes that are held on, since the end of what others were held for failed. */
    @Test
    public void shouldEndOtherHoldingsWhenEndOfOneFails() {
        account.open(HoldingKind.UNREAD, "failing", () -> {
                    throw new IllegalStateException("it cannot be ended");
                })
                .hold(60 * MEGABYTE);
        open(HoldingKind.UNREAD, "other", 50 * MEGABYTE);
        for (Optional<MemoryAccount.Holding> excess = account.excess(); excess.isPresent(); excess = account.excess()) {
            excess.get().end();
        }
        assertEquals(ended, List.of("other"));
        assertEquals(account.totalBytes(), 0);
    }
}
