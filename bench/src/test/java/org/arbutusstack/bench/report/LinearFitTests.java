package org.arbutusstack.bench.report;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import org.testng.annotations.Test;

/** Tests for {@link LinearFit}. */
public class LinearFitTests {

    private static final double TOLERANCE = 1e-9;

    @Test
    public void shouldFindLineWhenPointsLieOnIt() {
        LinearFit fit = LinearFit.of(List.of(10.0, 50.0, 200.0), List.of(25.0, 105.0, 405.0));
        assertEquals(fit.slope(), 2.0, TOLERANCE);
        assertEquals(fit.intercept(), 5.0, TOLERANCE);
        assertEquals(fit.at(1_000), 2_005.0, TOLERANCE);
    }

    @Test
    public void shouldRefuseWhenAllPositionsAreEqual() {
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(List.of(1.0, 1.0), List.of(1.0, 2.0)));
    }
}
