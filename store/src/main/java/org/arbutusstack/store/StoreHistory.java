package org.arbutusstack.store;

import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The history of a key-value service as its answers show it: each time that the service comes back from an older copy,
 * a new era begins.
 *
 * <p>Thread-safe.
 *
 * @see KeyValueStore#era()
 */
public final class StoreHistory {

    private static final Logger logger = LoggerFactory.getLogger(StoreHistory.class);

    private final AtomicLong era = new AtomicLong(KeyValueStore.UNKNOWN_ERA);

    /**
     * Return the latest era of which an answer is known.
     *
     * @return the era; {@link KeyValueStore#UNKNOWN_ERA} if no answer named one
     */
    public long era() {
        return era.get();
    }

    /**
     * Record that an answer belongs to an era.
     *
     * @param answeredEra the era
     * @return whether the answer counts; not if it was sent before the service came back from a copy
     */
    public boolean observe(long answeredEra) {
        long before = era.getAndAccumulate(answeredEra, Math::max);
        if (answeredEra > before && before != KeyValueStore.UNKNOWN_ERA) {
            logger.warn("event=store-restored era={} era_before={}", answeredEra, before);
        }
        return answeredEra >= before;
    }
}
