package org.arbutusstack.bench.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.arbutusstack.bench.deployment.Deployment;
import org.arbutusstack.bench.load.Scenario;
import org.arbutusstack.placement.PlacementWeights;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for {@link PolicyRun}. */
public class PolicyRunTests {

    private static final PlacementWeights WEIGHTS = new PlacementWeights(4, 3, 1, 4, 5);

    private static PolicyResult run(Deployment deployment, ComparedPolicy policy, double load, Scenario scenario) {
        PolicySetup setup = new PolicySetup(policy, load, 60, 1, scenario, deployment.engineRunners());
        return new PolicyRun(deployment, setup, WEIGHTS).run();
    }

    @DataProvider
    Object[][] cases() {
        return new Object[][] {
            {Deployment.PADANA, ComparedPolicy.STATIC_ROUND_ROBIN, Scenario.STEADY},
            {Deployment.PADANA, ComparedPolicy.BALANCED, Scenario.SHIFT},
            {Deployment.PADANA, ComparedPolicy.FOLLOW_DEMAND, Scenario.BURST},
            {Deployment.STUBBLE, ComparedPolicy.BALANCED, Scenario.BURST},
        };
    }

    @Test(dataProvider = "cases")
    public void shouldReachEveryModelWhenLoadIsHigh(Deployment deployment, ComparedPolicy policy, Scenario scenario) {
        assertEquals(run(deployment, policy, 0.8, scenario).fewestReachable(), deployment.models());
    }

    @Test
    public void shouldRepeatResultWhenSeedIsEqual() {
        PolicyResult first = run(Deployment.STUBBLE, ComparedPolicy.BALANCED, 0.6, Scenario.SHIFT);
        assertEquals(run(Deployment.STUBBLE, ComparedPolicy.BALANCED, 0.6, Scenario.SHIFT), first);
    }

    @Test
    public void shouldServeNearlyAllWhenLoadIsLow() {
        PolicyResult result = run(Deployment.STUBBLE, ComparedPolicy.STATIC_LEAST_OUTSTANDING, 0.1, Scenario.STEADY);
        assertTrue(result.attainment() > 0.98, result.toString());
    }

    @Test
    public void shouldNotServeMoreThanEnginesCanWhenLoadIsTwofold() {
        PolicyResult result = run(Deployment.STUBBLE, ComparedPolicy.FOLLOW_DEMAND, 2, Scenario.STEADY);
        double shortestAnswerSeconds = 25 * 0.034;
        double maxPerSecond = 4 / shortestAnswerSeconds * 62 / 60;
        assertTrue(result.inTimePerAccelerator() <= maxPerSecond, result.toString());
    }
}
