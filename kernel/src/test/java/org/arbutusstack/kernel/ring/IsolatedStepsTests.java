package org.arbutusstack.kernel.ring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link IsolatedSteps}. */
public class IsolatedStepsTests {

    private final List<Integer> handled = new ArrayList<>();

    private void handle(int item) {
        if (item % 2 == 0) {
            throw new IllegalStateException("item " + item);
        }
        handled.add(item);
    }

    /** Guards against one item that fails keeping a duty from those behind it. */
    @Test
    public void shouldHandleOtherItemsWhenOneFails() {
        IsolatedSteps.forEach("test", List.of(1, 2, 3, 4, 5), this::handle);
        IsolatedSteps.runAll("test", () -> handle(6), () -> handle(7));
        assertEquals(handled, List.of(1, 3, 5, 7));
    }

    @Test
    public void shouldTellWhetherStepEndedNormally() {
        assertTrue(IsolatedSteps.run("test", () -> {}));
        assertFalse(IsolatedSteps.run("test", () -> handle(2)));
    }

    @Test
    public void shouldLetStepsChangeTheItems() {
        List<Integer> items = new ArrayList<>(List.of(1, 3, 5));
        IsolatedSteps.forEach("test", items, items::remove);
        assertTrue(items.isEmpty());
    }
}
