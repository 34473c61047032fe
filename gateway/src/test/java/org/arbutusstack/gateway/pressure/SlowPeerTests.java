package org.arbutusstack.gateway.pressure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the bounds of {@link Backpressure} on slow callers and slow runners with fakes, on a manual clock. */
public class SlowPeerTests {

    private static final long MAX_BYTES = 32_000_000;

    private static final int EVENT_BYTES = 20_000;

    private ManualClock clock;

    private Backpressure backpressure;

    private AtomicInteger givenUp;

    @BeforeMethod
    public void reset() {
        create(true);
    }

    private void create(boolean enabled) {
        clock = new ManualClock(1_000_000_000L);
        backpressure = new Backpressure(MAX_BYTES, enabled, clock, new PrometheusRegistry());
        givenUp = new AtomicInteger();
    }

    private void write(SlowSink sink, boolean streamed, int bytes) {
        sink.pending += sink.disconnected ? 0 : bytes;
        backpressure.written(sink, "q", bytes, streamed);
    }

    /** Guards against one stream taking the memory of all, and against cutting one off before its share is used. */
    @Test
    public void shouldEndStreamOnlyBeyondItsShare() {
        SlowSink sink = new SlowSink();
        for (int event = 0; event < MAX_BYTES / 16 / EVENT_BYTES; event++) {
            write(sink, true, EVENT_BYTES);
        }
        assertFalse(sink.disconnected);
        write(sink, true, EVENT_BYTES);
        assertTrue(sink.disconnected);
        backpressure.tick();
        assertEquals(backpressure.heldBytes(), 0);
    }

    /** Guards against a complete answer, all of which is unread once it is written, being ended like a stream. */
    @Test
    public void shouldNotEndWholeAnswerThatWasJustWritten() {
        SlowSink sink = new SlowSink();
        write(sink, false, 4_000_000);
        assertFalse(sink.disconnected);
    }

    /** Guards against ending the stream of a caller that reads, in place of those of callers that do not. */
    @Test
    public void shouldEndStreamsOfCallersThatReadNothingWhenAllHoldTooMuch() {
        SlowSink reading = new SlowSink();
        SlowSink[] idle = new SlowSink[20];
        for (int round = 0; round < 60; round++) {
            write(reading, true, EVENT_BYTES);
            reading.pending -= 15_000;
            for (int index = 0; index < idle.length; index++) {
                idle[index] = idle[index] == null ? new SlowSink() : idle[index];
                write(idle[index], true, EVENT_BYTES);
            }
            clock.advanceMillis(50);
            backpressure.tick();
            assertTrue(backpressure.heldBytes() <= MAX_BYTES / 3);
        }
        assertFalse(reading.disconnected);
        assertTrue(idle[0].disconnected || idle[19].disconnected);
    }

    /** Guards against an answer that is complete for the dispatcher being kept for a caller that never reads it. */
    @Test
    public void shouldEndAnswerOfWhichNothingIsReadForLong() {
        SlowSink paused = new SlowSink();
        SlowSink slow = new SlowSink();
        write(paused, true, 500_000);
        write(slow, true, 500_000);
        for (int second = 0; second < 29; second++) {
            slow.pending--;
            clock.advanceMillis(1_000);
            backpressure.tick();
        }
        assertFalse(paused.disconnected);
        clock.advanceMillis(1_000);
        backpressure.tick();
        assertTrue(paused.disconnected);
        assertFalse(slow.disconnected);
    }

    /** Guards against a change for deployments that did not ask for the contract: only the account's bound applies. */
    @Test
    public void shouldApplyOnlyBoundOfAccountWhenNotEnabled() {
        create(false);
        SlowSink sink = new SlowSink();
        write(sink, true, 4_000_000);
        clock.advanceMillis(60_000);
        backpressure.tick();
        assertFalse(sink.disconnected);
        write(sink, true, (int) MAX_BYTES);
        assertTrue(sink.disconnected);
    }

    /** Guards against ending uploads for a body that cannot be held, and against keeping them for one that can. */
    @Test
    public void shouldEndStalledUploadOnlyForBodyThatFits() {
        AtomicInteger endedUploads = new AtomicInteger();
        backpressure.openUpload("q", endedUploads::incrementAndGet).hold(20_000_000);
        assertFalse(backpressure.admitBody(4_000_000));
        clock.advanceMillis(3_000);
        assertFalse(backpressure.admitBody(30_000_000));
        assertEquals(endedUploads.get(), 0);
        assertTrue(backpressure.admitBody(4_000_000));
        assertEquals(endedUploads.get(), 1);
    }

    private AtomicLong send(long bodyBytes) {
        AtomicLong unsentBytes = new AtomicLong(bodyBytes);
        backpressure.sending(
                unsentBytes, unsentBytes::get, bodyBytes, 2_000, clock.deadlineNanos(8_000), givenUp::incrementAndGet);
        return unsentBytes;
    }

    private void advance(AtomicLong unsentBytes, long bytesPerTick, int ticks) {
        for (int tick = 0; tick < ticks; tick++) {
            clock.advanceMillis(40);
            unsentBytes.set(Math.max(0, unsentBytes.get() - bytesPerTick));
            backpressure.tick();
        }
    }

    /** Guards against waiting until the deadline for a runner that does not read, and against giving up too early. */
    @Test
    public void shouldGiveUpSendAfterHalfOfCallersWaitWhenRunnerReadsNothing() {
        AtomicLong unsentBytes = send(4_000_000);
        advance(unsentBytes, 0, 24);
        assertEquals(givenUp.get(), 0);
        advance(unsentBytes, 0, 2);
        assertEquals(givenUp.get(), 1);
        advance(unsentBytes, 0, 100);
        assertEquals(givenUp.get(), 1);
    }

    /** Guards against giving up a large body that is read fast enough to arrive before the deadline. */
    @Test
    public void shouldNotGiveUpSendThatEndsBeforeDeadline() {
        AtomicLong inTime = send(4_000_000);
        advance(inTime, 30_000, 200);
        assertEquals(givenUp.get(), 0);
        AtomicLong late = send(4_000_000);
        advance(late, 10_000, 30);
        assertEquals(givenUp.get(), 1);
    }

    /** Guards against taking the bytes that fill the buffers of a connection for progress of the runner. */
    @Test
    public void shouldGiveUpSendWhenRunnerReadsNothingAfterBuffersAreFull() {
        AtomicLong unsentBytes = send(4_000_000);
        advance(unsentBytes, 3_900_000, 1);
        advance(unsentBytes, 0, 23);
        assertEquals(givenUp.get(), 0);
        advance(unsentBytes, 0, 3);
        assertEquals(givenUp.get(), 1);
    }

    /** Connection of a caller that takes nothing by itself. */
    private static final class SlowSink implements ResponseSink {

        private long pending;

        private boolean disconnected;

        @Override
        public void head(int status, String contentType) {}

        @Override
        public void header(String name, String value) {}

        @Override
        public boolean write(byte[] bytes) {
            return true;
        }

        @Override
        public void end() {}

        @Override
        public void abort() {
            disconnected = true;
            pending = 0;
        }

        @Override
        public long pendingBytes() {
            return pending;
        }

        @Override
        public boolean isClosed() {
            return disconnected;
        }

        @Override
        public void onClose(Runnable task) {}
    }
}
