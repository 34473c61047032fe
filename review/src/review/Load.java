package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Small requests at a steady rate, and what became of them. */
final class Load {
    private static final long TIMEOUT_MILLIS = 4_000;
    private static final long SLACK_MILLIS = 500;
    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger answered = new AtomicInteger();
    final AtomicInteger refused = new AtomicInteger();
    /** Requests without any answer half a second after their route's timeout. */
    final AtomicInteger unanswered = new AtomicInteger();
    /** Requests that were answered later than their route's timeout. */
    final AtomicInteger late = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();

    /** Send GET order-status at a steady rate; each waits until half a second after the route's timeout. */
    void run(Deployment deployment, String name, int count, long gapMillis) throws InterruptedException {
        for (int index = 0; index < count; index++) {
            String id = name + index;
            sent.incrementAndGet();
            threads.add(Http.daemon(() -> one(deployment, id)));
            Thread.sleep(gapMillis);
        }
    }

    private void one(Deployment deployment, String id) {
        Client.Answer answer = Client.ask(deployment.ip(1), deployment.front, "GET", Deployment.HOST,
                "/order-status/x", Configs.plainHeaders(id, TIMEOUT_MILLIS), new byte[0],
                TIMEOUT_MILLIS + SLACK_MILLIS);
        if (answer.status() != 0 && answer.millis() > TIMEOUT_MILLIS) {
            late.incrementAndGet();
        }
        if (answer.status() == 0) {
            unanswered.incrementAndGet();
        } else if (answer.status() == 200) {
            answered.incrementAndGet();
        } else {
            refused.incrementAndGet();
        }
        deployment.report.line("client gets request=" + id + " " + answer);
    }

    Load await() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
        return this;
    }

    /**
     * Return whether the rule is broken: of the requests still unanswered at their route's timeout, more than half
     * have no answer half a second later. Fewer than eight are let pass.
     */
    boolean broken(Deployment deployment) {
        int without = unanswered.get();
        int still = without + late.get();
        deployment.report.line("still unanswered at timeout-ms: " + still + ", half a second later: " + without);
        return without >= 8 && without > still / 2;
    }

    @Override
    public String toString() {
        return "sent=" + sent + " answered=" + answered + " refused=" + refused + " unanswered=" + unanswered;
    }
}
