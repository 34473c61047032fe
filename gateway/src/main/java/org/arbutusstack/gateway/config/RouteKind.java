package org.arbutusstack.gateway.config;

/** Kind of the requests of a route, which determines whether they may be repeated. */
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

    /** A request answered by an event stream. */
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
     * Return whether a request may be repeated after it may have run.
     *
     * @param resumable whether the route permits a stream to be resumed at another runner
     * @return whether it may be sent again
     */
    public abstract boolean mayRepeat(boolean resumable);

    /**
     * Return whether the answer is an event stream.
     *
     * @return {@code true} for a stream
     */
    public boolean isStreaming() {
        return false;
    }
}
