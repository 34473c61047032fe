package org.arbutusstack.bench.deployment;

import org.arbutusstack.testkit.kv.KeyValueFault;

/** Lists what fails during a run; each constant knows how it begins and ends. */
public enum DeploymentFault {
    /** Nothing fails. */
    NONE {
        @Override
        void begin(DeploymentCluster cluster) {}
    },
    /** One runner is lost for good: its engine and its side. */
    RUNNER_LOSS {
        @Override
        void begin(DeploymentCluster cluster) {
            cluster.loseRunner(0);
        }
    },
    /** The runners and the entry of one availability zone are lost for good. */
    ZONE_LOSS {
        @Override
        void begin(DeploymentCluster cluster) {
            cluster.loseZone();
        }
    },
    /** The key-value service refuses every call. */
    STORE_OUTAGE {
        @Override
        void begin(DeploymentCluster cluster) {
            cluster.store().fault(KeyValueFault.REFUSE);
        }

        @Override
        void end(DeploymentCluster cluster) {
            cluster.store().fault(KeyValueFault.NONE);
        }
    },
    /** The weight store takes five times as long. */
    WEIGHTS_SLOW {
        @Override
        void begin(DeploymentCluster cluster) {
            cluster.weights().slowdown(SLOWDOWN);
        }

        @Override
        void end(DeploymentCluster cluster) {
            cluster.weights().slowdown(1);
        }
    };

    private static final double SLOWDOWN = 5;

    /** Brings the failure about. */
    abstract void begin(DeploymentCluster cluster);

    /** Mends what can be mended. */
    void end(DeploymentCluster cluster) {}
}
