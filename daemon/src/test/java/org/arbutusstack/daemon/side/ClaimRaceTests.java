package org.arbutusstack.daemon.side;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.http.client.UndertowHttpClient;
import org.arbutusstack.kernel.time.SystemClock;
import org.arbutusstack.model.request.ClaimKey;
import org.arbutusstack.side.claim.ClaimChange;
import org.arbutusstack.side.claim.ClaimCommitter;
import org.arbutusstack.side.claim.ClaimLimits;
import org.arbutusstack.side.claim.ClaimMetrics;
import org.arbutusstack.side.claim.ClaimResult;
import org.arbutusstack.store.etcd.EtcdKeyValueStore;
import org.arbutusstack.testkit.kv.KeyValueStandIn;
import org.testng.annotations.Test;

/** Tests over HTTP that only one of two sides that claim the same call concurrently is granted the claim. */
public class ClaimRaceTests {

    private static final int KEYS = 120;

    private static final ClaimLimits LIMITS = new ClaimLimits(TimeUnit.HOURS.toMillis(1), 0, 100, 8_192);

    @Test
    public void shouldGrantEachCallOnceWhenTwoSidesClaimAtOnce() {
        KeyValueStandIn store = new KeyValueStandIn(0);
        store.start();
        AtomicIntegerArray granted = new AtomicIntegerArray(KEYS);
        AtomicIntegerArray settled = new AtomicIntegerArray(KEYS);
        CyclicBarrier start = new CyclicBarrier(2);
        try (UndertowHttpClient client = new UndertowHttpClient("race", 2)) {
            EtcdKeyValueStore etcd = new EtcdKeyValueStore(client, HttpTarget.parse(store.address()));
            List<CompletableFuture<Void>> sides = new ArrayList<>();
            for (String side : List.of("a", "b")) {
                sides.add(CompletableFuture.runAsync(() -> claimAll(side, etcd, start, granted, settled)));
            }
            sides.forEach(CompletableFuture::join);
        } finally {
            store.close();
        }
        int grants = 0;
        for (int key = 0; key < KEYS; key++) {
            assertEquals(settled.get(key), 2);
            assertTrue(granted.get(key) <= 1, "key " + key);
            grants += granted.get(key);
        }
        assertTrue(grants > KEYS / 2, "grants " + grants);
    }

    private static void claimAll(
            String side,
            EtcdKeyValueStore store,
            CyclicBarrier start,
            AtomicIntegerArray granted,
            AtomicIntegerArray settled) {
        SystemClock clock = new SystemClock();
        ClaimCommitter committer =
                new ClaimCommitter(store, clock, LIMITS, side, new ClaimMetrics(new PrometheusRegistry()));
        for (int number = 0; number < KEYS; number++) {
            int slot = number;
            ClaimKey key = new ClaimKey("orderdesk", "race-" + number);
            ClaimChange.Claim claim = new ClaimChange.Claim(key.digest(), "same", side + number);
            await(start);
            committer.claim(key, claim, clock.deadlineNanos(5_000), result -> {
                settled.incrementAndGet(slot);
                if (result instanceof ClaimResult.Granted) {
                    granted.incrementAndGet(slot);
                }
            });
            committer.commitDue();
        }
    }

    private static void await(CyclicBarrier barrier) {
        try {
            barrier.await(20, TimeUnit.SECONDS);
        } catch (Exception broken) {
            throw new IllegalStateException("The other side did not reach the barrier", broken);
        }
    }
}
