package org.arbutusstack.gateway.config;

/** Tells what may be done with a request of a route; each constant knows what may be repeated. */
public enum RouteKind {
    /** A request that may run more than once. */
    SAFE {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return true;
        }
    },

    /** A request that may run at most once. */
    UNSAFE {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return false;
        }
    },

    /** A request that is answered by a stream of events. */
    STREAMING {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return resumable;
        }

        @Override
        public boolean isStreaming() {
            return true;
        }
    };

    /**
     * Tells whether a request may be sent again after it may have run.
     *
     * @param resumable whether the route lets a stream go on at another runner
     * @return whether it may
     */
    public abstract boolean mayRepeat(boolean resumable);

    /**
     * Tells whether the answer is a stream of events.
     *
     * @return whether it is
     */
    public boolean isStreaming() {
        return false;
    }
}
