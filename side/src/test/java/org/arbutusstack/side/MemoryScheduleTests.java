package org.arbutusstack.side;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.model.ticket.AdapterSpec;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.ModelSpec;
import org.arbutusstack.model.ticket.ServiceKind;
import org.arbutusstack.model.ticket.ServiceSpec;
import org.arbutusstack.placement.MemoryLedger;
import org.arbutusstack.placement.OrderExpiryProof;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that no interleaving of orders, answers, crashes and restarts takes more memory than the engine has, and that
 * the wanted models are loaded once the faults stop.
 */
public class MemoryScheduleTests {

    private static final int MODELS = 12;

    private static final int ADAPTERS = 15;

    private static final int STEPS = 400;

    private static final int FAULT_FREE_STEPS = 600;

    private static final long TIMEOUT_MILLIS = 2_000;

    @DataProvider
    public Object[][] engines() {
        return new Object[][] {{"checks fencing numbers", true, 1_000}, {"ignores fencing numbers", false, 1_000}};
    }

    @Test(dataProvider = "engines")
    public void shouldNeverExceedMemoryWhenOrdersAreLostLateOrDuplicated(
            String name, boolean checksFence, int schedules) {
        int violations = 0;
        int unfinished = 0;
        for (int seed = 0; seed < schedules; seed++) {
            Schedule schedule = new Schedule(checksFence, seed);
            schedule.run();
            violations += schedule.engine.violations();
            unfinished += schedule.hasWantedModels() ? 0 : 1;
        }
        System.out.println("engine that " + name + ": schedules=" + schedules + " steps=" + (STEPS + FAULT_FREE_STEPS)
                + " violations=" + violations + " unfinished=" + unfinished);
        assertEquals(violations, 0);
        assertEquals(unfinished, 0);
    }

    /** One random interleaving, which its seed determines. */
    private static final class Schedule {

        private final boolean checksFence;

        private final Random random;

        private final ManualClock clock = new ManualClock();

        private final FakeEngine engine;

        private final List<FakeEngine.Answer> answers = new ArrayList<>();

        private final Map<String, ModelSpec> models = new HashMap<>();

        private final Map<String, ServiceSpec> services = Map.of("lm", new ServiceSpec("lm", ServiceKind.ENGINE, true));

        private final Map<String, AdapterSpec> adapters = new HashMap<>();

        private Residency residency;

        private List<String> wanted = List.of();

        private long nowMillis;

        private long grant = 1;

        private long sequence;

        private JsonNode memoryReport;

        private long memoryReportRequestedNanos;

        Schedule(boolean checksFence, int seed) {
            this.checksFence = checksFence;
            random = new Random(seed);
            engine = new FakeEngine(checksFence, random, 5 + random.nextInt(40));
            for (int index = 0; index < MODELS; index++) {
                models.put("m" + index, spec(index, 1));
            }
            for (int index = 0; index < ADAPTERS; index++) {
                adapters.put("adapter" + index, adapter(index, 1));
            }
            restart();
        }

        private AdapterSpec adapter(int index, int version) {
            String model = "m" + index % MODELS;
            return new AdapterSpec("adapter" + index, model, "v" + version, 30 + random.nextInt(100));
        }

        private ModelSpec spec(int index, int version) {
            return new ModelSpec("m" + index, "lm", "v" + version, 100 + random.nextInt(300), 1);
        }

        private void restart() {
            answers.clear();
            memoryReport = null;
            OrderExpiryProof proof = checksFence ? OrderExpiryProof.FENCE : OrderExpiryProof.DELAY;
            residency = new Residency(
                    new SideIdentity("r1", "lm", "regina", "i" + grant, null),
                    new MemoryLedger(proof, clock.nowNanos(), FakeEngine.MAX_DELAY_MILLIS, 1_000),
                    new AdapterCache(clock, 2, 1_000),
                    clock,
                    order -> answers.addAll(engine.send(order, nowMillis, TIMEOUT_MILLIS)),
                    List::of);
            residency.stateAdvanced(state());
            residency.fenceGranted(++grant);
            issuePlan();
        }

        private DesiredState state() {
            return new DesiredState(++sequence, Digest.ZERO, services, models, adapters, Map.of(), 0, 0);
        }

        private void issuePlan() {
            List<String> keys = wanted.stream()
                    .map(name -> Residency.keyOf(models.get(name)))
                    .toList();
            List<String> released = new ArrayList<>(residency.readyModels());
            released.removeAll(keys);
            residency.adopt(new Plan("lm", 1, ++sequence, sequence, Map.of("r1", keys), Map.of("r1", released)));
        }

        void run() {
            for (int step = 0; step < STEPS; step++) {
                injectChange();
                step();
            }
            engine.stopFaults();
            for (int step = 0; step < FAULT_FREE_STEPS; step++) {
                step();
                if (step % 20 == 0) {
                    issuePlan();
                }
            }
        }

        private void injectChange() {
            int draw = random.nextInt(100);
            if (draw < 12) {
                int index = random.nextInt(MODELS);
                models.put("m" + index, spec(index, 1 + step(index)));
                residency.stateAdvanced(state());
            } else if (draw < 20) {
                chooseWantedModels();
                issuePlan();
            } else if (draw > 60) {
                requestAdapter(random.nextInt(ADAPTERS));
            } else if (draw == 22) {
                int index = random.nextInt(ADAPTERS);
                adapters.put("adapter" + index, adapter(index, 2 + random.nextInt(1_000)));
                residency.stateAdvanced(state());
            } else if (draw == 20) {
                engine.crash(nowMillis);
            } else if (draw == 21) {
                restart();
            }
        }

        private void requestAdapter(int index) {
            AdapterSpec adapter = adapters.get("adapter" + index);
            residency.isReady(AdapterRequests.work(index, adapter.model(), adapter.name()));
        }

        private int step(int index) {
            return Integer.parseInt(models.get("m" + index).version().substring(1));
        }

        private void chooseWantedModels() {
            List<String> names = new ArrayList<>(models.keySet());
            java.util.Collections.shuffle(names, random);
            wanted = names.subList(0, 1 + random.nextInt(4));
        }

        private void step() {
            long stepMillis = 20 + random.nextInt(200);
            nowMillis += stepMillis;
            clock.advanceMillis(stepMillis);
            engine.advance(nowMillis);
            for (FakeEngine.Answer answer : List.copyOf(answers)) {
                if (answer.atMillis <= nowMillis && answers.remove(answer)) {
                    residency.orderEnded(answer.order, answer.failure);
                }
            }
            if (memoryReport != null && random.nextInt(3) > 0) {
                residency.engineReported(memoryReport, memoryReportRequestedNanos);
                memoryReport = null;
            }
            if (memoryReport == null && engine.isAvailable(nowMillis)) {
                memoryReportRequestedNanos = clock.nowNanos();
                memoryReport = engine.memoryReport(nowMillis);
            }
        }

        boolean hasWantedModels() {
            long wantedMb = wanted.stream()
                    .mapToLong(name -> models.get(name).memoryMb())
                    .sum();
            return wantedMb > FakeEngine.SIZE_MB
                    || wanted.stream()
                            .allMatch(name -> engine.residentsMb().containsKey(Residency.keyOf(models.get(name))));
        }
    }
}
