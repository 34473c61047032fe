package org.arbutusstack.gateway.allotment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalInt;
import java.util.Set;
import org.arbutusstack.gateway.config.AllotmentUnit;
import org.arbutusstack.gateway.config.Team;
import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link TokenBalance} of one of ten entries. */
public class TokenBalanceTests {

    private static final int ENTRIES = 10;

    private ManualClock clock;

    private ElapsedTime elapsed;

    private TokenBalance balance;

    private final Team team = new Team("raven", Set.of(), OptionalInt.empty(), AllotmentUnit.TOKEN, 1_000, 1_000, 200);

    @BeforeMethod
    public void setUp() {
        clock = new ManualClock();
        elapsed = new ElapsedTime(clock);
        balance = new TokenBalance(clock, elapsed);
    }

    /** Guards against tokens that are used in a later window in addition to its own, also if they were given back. */
    @Test
    public void shouldDropTokensAfterTheirLifetime() {
        balance.lendOwn();
        balance.add(300, elapsed.nowNanos());
        clock.advanceMillis(400);
        AllotmentReceipt receipt = balance.take(team, 200, ENTRIES).orElseThrow();
        balance.giveBack(receipt);
        assertEquals(balance.tokens(), 300.0);
        clock.advanceMillis(100);
        balance.giveBack(receipt);
        assertEquals(balance.tokens(), 0.0);
    }

    /** Guards against a burst of each entry that uses its own share, and against one that can never send a request. */
    @Test
    public void shouldAccrueOwnPartOfRateAndBurst() {
        clock.advanceMillis(500);
        balance.accrueOwn(team, ENTRIES);
        assertEquals(balance.tokens(), 50.0, 0.001);
        clock.advanceMillis(60_000);
        balance.accrueOwn(team, ENTRIES);
        assertTrue(balance.take(team, 121, ENTRIES).isEmpty());
        assertTrue(balance.take(team, 120, ENTRIES).isPresent());
        assertEquals(balance.tokens(), -20.0, 0.001);
        balance.lendOwn();
        assertEquals(balance.tokens(), -20.0, 0.001);
    }
}
