package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send requests beside each other, each one after the other. */
final class Parallel {
    private Parallel() {}

    /** Sends one request; returns whether its answer broke the rule. */
    interface Task {
        boolean ask(int index) throws Exception;
    }

    /** Send requests 0 to count - 1 and return how many answers broke the rule. */
    static int run(int clients, int count, Task task) throws InterruptedException {
        AtomicInteger next = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int client = 0; client < clients; client++) {
            threads.add(Http.daemon(() -> {
                for (int index = next.getAndIncrement(); index < count; index = next.getAndIncrement()) {
                    try {
                        wrong.addAndGet(task.ask(index) ? 1 : 0);
                    } catch (Exception failure) {
                        failure.printStackTrace();
                    }
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return wrong.get();
    }
}
