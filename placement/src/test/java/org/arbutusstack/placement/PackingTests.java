package org.arbutusstack.placement;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.model.ticket.ModelSpec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for {@link Packing}. */
public class PackingTests {

    @DataProvider
    public Object[][] cases() {
        return new Object[][] {
            {"nothing to place", List.of(), List.of(1_000L), true},
            {"one model and room to replace it on the same runner", List.of(400L), List.of(1_000L), true},
            {"one model without room to replace it", List.of(600L), List.of(1_000L), false},
            {"one model and room to replace it elsewhere", List.of(600L), List.of(1_000L, 600L), true},
            {"a model larger than each runner", List.of(1_001L), List.of(1_000L, 1_000L), false},
            {"no runner at all", List.of(1L), List.of(), false},
            {"small ones fill what the transition leaves", List.of(500L, 500L, 500L), List.of(1_000L, 1_000L), true},
            {"one too many", List.of(500L, 500L, 500L, 500L), List.of(1_000L, 1_000L), false},
            {"a larger runner keeps the room", List.of(700L, 300L), List.of(1_000L, 1_000L), true},
        };
    }

    @Test(dataProvider = "cases")
    public void shouldFindRoomWhenThereIsSome(String name, List<Long> modelsMb, List<Long> runnersMb, boolean fits) {
        List<ModelSpec> models = new ArrayList<>();
        modelsMb.forEach(memoryMb -> models.add(new ModelSpec("m" + models.size(), "lm", "v1", memoryMb, 1)));
        assertEquals(Packing.complaint(models, runnersMb).isEmpty(), fits, name);
    }
}
