package org.arbutusstack.bench.report;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import org.testng.annotations.Test;

/** Tests the fit of lines. */
public class LinearFitTests {

    private static final double EXACT = 1e-9;

    @Test
    public void shouldFindLineWhenPointsLieOnIt() {
        LinearFit fit = LinearFit.of(List.of(10.0, 50.0, 200.0), List.of(25.0, 105.0, 405.0));
        assertEquals(fit.slope(), 2.0, EXACT);
        assertEquals(fit.intercept(), 5.0, EXACT);
        assertEquals(fit.at(1_000), 2_005.0, EXACT);
    }

    @Test
    public void shouldRefuseWhenAllPositionsAreEqual() {
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(List.of(1.0, 1.0), List.of(1.0, 2.0)));
    }
}
