package org.arbutusstack.entry.plan;

import java.util.List;
import org.arbutusstack.placement.RunnerCapacity;

/** Directory of the runners that are reachable, with their capacity. Implementations are thread-safe. */
public interface RunnerDirectory {

    /**
     * Return the runners of a service that accept new requests.
     *
     * @param service the name of the service
     * @return the runners, ordered by name
     */
    List<RunnerCapacity> runners(String service);

    /**
     * Return the number of runners of a service in the host list, whether reachable or not.
     *
     * @param service the name of the service
     * @return the number of listed runners
     */
    int listedRunners(String service);
}
