package org.arbutusstack.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests strikes of requests that crash engines. */
public class StrikeRegistryTests {

    private static Strike strike(String digest, String incident) {
        return new Strike(digest, incident, 100);
    }

    @Test
    public void shouldRefuseOnlyWhenTwoEnginesWereLost() {
        StrikeRegistry book = new StrikeRegistry(10);
        assertFalse(book.isSuspect("d", 0));
        assertTrue(book.add(strike("d", "one")));
        assertFalse(book.add(strike("d", "one")));
        assertTrue(book.isSuspect("d", 0));
        assertFalse(book.isRefused("d", 0));
        book.add(strike("d", "two"));
        assertTrue(book.isRefused("d", 0));
    }

    @Test
    public void shouldForgetWhenStrikesExpireOrAreTakenBack() {
        StrikeRegistry book = new StrikeRegistry(10);
        book.add(strike("d", "one"));
        book.add(strike("d", "two"));
        book.withdraw("d", "two");
        assertFalse(book.isRefused("d", 99));
        assertTrue(book.isSuspect("d", 99));
        assertFalse(book.isSuspect("d", 100));
        assertTrue(book.isEmpty());
    }

    @Test
    public void shouldStayBoundedWhenManyRequestsAreStruck() {
        StrikeRegistry book = new StrikeRegistry(10);
        for (int number = 0; number < 1_000; number++) {
            book.add(strike("d" + number, "one"));
        }
        assertEquals(book.size(), 10);
        assertTrue(book.isSuspect("d999", 0));
    }
}
