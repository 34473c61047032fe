package org.arbutusstack.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests for {@link StrikeRegistry}, with requests that crash engines. */
public class StrikeRegistryTests {

    private static Strike strike(String digest, String incident) {
        return new Strike(digest, incident, 100);
    }

    @Test
    public void shouldRefuseOnlyWhenTwoEnginesWereLost() {
        StrikeRegistry registry = new StrikeRegistry(10);
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
        StrikeRegistry registry = new StrikeRegistry(10);
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
        StrikeRegistry registry = new StrikeRegistry(10);
        for (int number = 0; number < 1_000; number++) {
            registry.add(strike("d" + number, "one"));
        }
        assertEquals(registry.size(), 10);
        assertTrue(registry.isSuspect("d999", 0));
    }
}
