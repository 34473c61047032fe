package org.arbutusstack.kernel.ring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Tests {@link EventLoop}. */
public class EventLoopTests {

    private static final int ROUNDS = 200;

    private static final int CAPACITY = 8;

    @Test
    public void shouldHandleEveryMessageWhenStoppedRightAfterStart() {
        for (int round = 0; round < ROUNDS; round++) {
            AtomicInteger handled = new AtomicInteger();
            EventLoop<Integer> eventLoop = new EventLoop<>("test", CAPACITY, message -> handled.incrementAndGet());
            eventLoop.start();
            assertTrue(eventLoop.offer(1));
            assertTrue(eventLoop.offer(2));
            eventLoop.stop();
            assertEquals(handled.get(), 2);
        }
    }

    @Test
    public void shouldRefuseMessageWhenFull() {
        CountDownLatch release = new CountDownLatch(1);
        EventLoop<Integer> eventLoop = new EventLoop<>("test", CAPACITY, message -> awaitQuietly(release));
        eventLoop.start();
        int accepted = 0;
        while (accepted <= CAPACITY + 1 && eventLoop.offer(accepted)) {
            accepted++;
        }
        assertTrue(accepted <= CAPACITY + 1);
        assertFalse(eventLoop.offer(0));
        release.countDown();
        eventLoop.stop();
        assertFalse(eventLoop.offer(0));
    }

    @Test
    public void shouldGoOnWhenHandlerFails() {
        AtomicInteger handled = new AtomicInteger();
        EventLoop<Integer> eventLoop = new EventLoop<>("test", CAPACITY, message -> {
            handled.incrementAndGet();
            throw new IllegalStateException("for the test");
        });
        eventLoop.start();
        eventLoop.offer(1);
        eventLoop.offer(2);
        eventLoop.stop();
        assertEquals(handled.get(), 2);
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
