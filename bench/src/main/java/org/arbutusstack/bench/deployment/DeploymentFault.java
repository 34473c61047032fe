package org.arbutusstack.bench.deployment;

import org.arbutusstack.testkit.kv.KeyValueFault;

/** The fault to inject during a run. */
public enum DeploymentFault {
    /** Nothing fails. */
    NONE {
        @Override
        void inject(DeploymentCluster cluster) {}
    },
    /** One runner is lost permanently, its engine and its side. */
    RUNNER_LOSS {
        @Override
        void inject(DeploymentCluster cluster) {
            cluster.loseRunner(0);
        }
    },
    /** The engine runners of one availability zone are lost permanently. */
    ZONE_LOSS {
        @Override
        void inject(DeploymentCluster cluster) {
            cluster.loseZone();
        }
    },
    /** The key-value service refuses every call. */
    STORE_OUTAGE {
        @Override
        void inject(DeploymentCluster cluster) {
            cluster.store().fault(KeyValueFault.REFUSE);
        }

        @Override
        void clear(DeploymentCluster cluster) {
            cluster.store().fault(KeyValueFault.NONE);
        }
    },
    /** The weight store takes five times as long. */
    WEIGHTS_SLOW {
        @Override
        void inject(DeploymentCluster cluster) {
            cluster.weightStore().slowdown(SLOWDOWN);
        }

        @Override
        void clear(DeploymentCluster cluster) {
            cluster.weightStore().slowdown(1);
        }
    };

    private static final double SLOWDOWN = 5;

    /** Inject the fault. */
    abstract void inject(DeploymentCluster cluster);

    /** Clear the fault. Lost processes are not restarted. */
    void clear(DeploymentCluster cluster) {}
}
