package org.arbutusstack.entry.router;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.placement.RunnerCapacity;
import org.arbutusstack.wire.frame.SideReportFrame;

/**
 * Status of a runner as known to this entry.
 *
 * @param name the runner name
 * @param service the service of the runner
 * @param zone the availability zone of the runner
 * @param takesWork whether the runner accepts new requests
 * @param sequence the sequence of the ticket log in force on the runner
 * @param memorySizeMb the accelerator memory, in mebibytes
 * @param memoryCommittedMb the committed accelerator memory, in mebibytes
 * @param modelsMb the part of the committed memory used by models, in mebibytes
 * @param queued the number of requests queued on the runner
 * @param running the number of requests running on the runner
 * @param outstanding the number of requests sent by this entry that have not ended
 * @param models the models that are ready
 * @param adapters the adapters that are ready
 * @param otherModels the models that occupy memory but are not offered
 * @param demand the number of queued or running requests by model
 */
public record RunnerStatus(
        String name,
        String service,
        String zone,
        boolean takesWork,
        long sequence,
        long memorySizeMb,
        long memoryCommittedMb,
        long modelsMb,
        int queued,
        int running,
        int outstanding,
        List<String> models,
        List<String> adapters,
        List<String> otherModels,
        Map<String, Integer> demand) {

    static RunnerStatus of(SideConnection side) {
        SideReportFrame report = side.report();
        boolean hasReport = report != null;
        return new RunnerStatus(
                side.host().name(),
                side.host().service(),
                side.host().zone(),
                side.takesWork(),
                hasReport ? report.sequence() : 0,
                hasReport ? report.memorySizeMb() : 0,
                hasReport ? report.memoryCommittedMb() : 0,
                hasReport ? report.modelsMb() : 0,
                hasReport ? report.queued() : 0,
                hasReport ? report.running() : 0,
                side.outstanding(),
                hasReport ? report.models() : List.of(),
                hasReport ? report.adapters() : List.of(),
                hasReport ? report.otherModels() : List.of(),
                hasReport ? report.demand() : Map.of());
    }

    RunnerCapacity capacity() {
        return new RunnerCapacity(
                name, zone, memorySizeMb, modelsMb, Set.copyOf(models), Set.copyOf(otherModels), demand);
    }
}
