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
            EventLoop<Integer> duty = new EventLoop<>("test", CAPACITY, message -> handled.incrementAndGet());
            duty.start();
            assertTrue(duty.offer(1));
            assertTrue(duty.offer(2));
            duty.stop();
            assertEquals(handled.get(), 2);
        }
    }

    @Test
    public void shouldRefuseMessageWhenFull() {
        CountDownLatch release = new CountDownLatch(1);
        EventLoop<Integer> duty = new EventLoop<>("test", CAPACITY, message -> awaitQuietly(release));
        duty.start();
        int taken = 0;
        while (taken <= CAPACITY + 1 && duty.offer(taken)) {
            taken++;
        }
        assertTrue(taken <= CAPACITY + 1);
        assertFalse(duty.offer(0));
        release.countDown();
        duty.stop();
        assertFalse(duty.offer(0));
    }

    @Test
    public void shouldGoOnWhenHandlerFails() {
        AtomicInteger handled = new AtomicInteger();
        EventLoop<Integer> duty = new EventLoop<>("test", CAPACITY, message -> {
            handled.incrementAndGet();
            throw new IllegalStateException("for the test");
        });
        duty.start();
        duty.offer(1);
        duty.offer(2);
        duty.stop();
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
