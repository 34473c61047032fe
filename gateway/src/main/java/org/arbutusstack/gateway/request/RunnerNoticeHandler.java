package org.arbutusstack.gateway.request;

import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.gateway.runner.RunnerNotice;
import org.arbutusstack.kernel.Assert;

/** Applies what runners say about themselves in their answers. Confined to the entry's event loop. */
final class RunnerNoticeHandler {

    private final RunnerPort runnerPort;

    private final DecisionLog log;

    RunnerNoticeHandler(RunnerPort runnerPort, DecisionLog log) {
        this.runnerPort = Assert.notNull(runnerPort, "runnerPort");
        this.log = Assert.notNull(log, "log");
    }

    /** Apply the notice in the head of an answer, if the answer is the runner's. */
    void headReceived(CurrentAttempt attempt) {
        if (!attempt.head().answerKind().isOfRunner()) {
            return;
        }
        KnownRunner runner = attempt.runner();
        RunnerNotice notice = attempt.head().notice();
        runner.limit().record(notice.requestsPerSecond(), attempt.sentAtNanos());
        if (notice.retryAfterMillis() > 0) {
            runner.limit().pause(notice.retryAfterMillis());
        }
        if (notice.leaving() && runner.takesWork()) {
            log.leaving(runner);
            retire(runner);
        }
    }

    /** Send nothing more to a runner, since it leaves or has ended. */
    void retire(KnownRunner runner) {
        runner.retire();
        runnerPort.closeIdleConnections(runner.entry());
    }
}
