package org.arbutusstack.entry.router;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.placement.RunnerCapacity;
import org.arbutusstack.wire.frame.SideReportFrame;

/**
 * Tells what an entry knows of a runner.
 *
 * @param name the runner's name
 * @param service its service
 * @param zone its availability zone
 * @param takesWork whether it takes new work
 * @param sequence the log sequence in force there
 * @param memorySizeMb its accelerator memory, in mebibytes
 * @param memoryCommittedMb the memory committed, in mebibytes
 * @param modelsMb the part of it committed to models, in mebibytes
 * @param queued the requests that wait there
 * @param running the requests that run there
 * @param outstanding the requests of this entry that have not ended there
 * @param models the models ready there
 * @param adapters the adapters ready there
 * @param otherModels the models that take memory there but are not offered
 * @param demand the requests waiting or running there by model
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
