package org.arbutusstack.kernel.ring;

import java.util.ArrayList;
import java.util.Collection;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runner of the steps of a duty, each of which concerns one item, such as a request, a server or a link: a step that
 * fails is logged and does not keep the duty from the others.
 *
 * <p>Event loops log the failure of a whole message, so that without this one item would stop a duty for all that come
 * after it, at each run again. Stateless and thread-safe.
 *
 * @see EventLoop
 */
public final class IsolatedSteps {

    private static final Logger logger = LoggerFactory.getLogger(IsolatedSteps.class);

    private IsolatedSteps() {}

    /**
     * Run a step.
     *
     * @param duty the name of the duty, for the log
     * @param step the step
     * @return whether it ended normally
     */
    public static boolean run(String duty, Runnable step) {
        try {
            step.run();
            return true;
        } catch (RuntimeException failure) {
            logger.error("event=duty-failure duty={}", duty, failure);
            return false;
        }
    }

    /**
     * Run several steps in order.
     *
     * @param duty the name of the duty, for the log
     * @param steps the steps
     */
    public static void runAll(String duty, Runnable... steps) {
        for (Runnable step : steps) {
            run(duty, step);
        }
    }

    /**
     * Run a step for each item.
     *
     * @param duty the name of the duty, for the log
     * @param items the items; steps may change the collection
     * @param step the step
     * @param <T> the type of the items
     */
    public static <T> void forEach(String duty, Collection<? extends T> items, Consumer<? super T> step) {
        for (T item : new ArrayList<>(items)) {
            run(duty, () -> step.accept(item));
        }
    }
}
