package org.arbutusstack.entry.plan;

import java.util.List;
import org.arbutusstack.placement.RunnerCapacity;

/** Tells which runners can be reached and what they hold. Implementations are safe for use by any thread. */
public interface RunnerDirectory {

    /**
     * Lists the runners of a service that take new work.
     *
     * @param service the service
     * @return the runners, ordered by name
     */
    List<RunnerCapacity> runners(String service);

    /**
     * Counts the runners of a service that the host list names, reached or not.
     *
     * @param service the service
     * @return the number of runners
     */
    int listedRunners(String service);
}
