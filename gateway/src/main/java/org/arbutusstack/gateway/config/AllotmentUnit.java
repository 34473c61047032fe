package org.arbutusstack.gateway.config;

/** Unit in which the requests of a team count against its allotment. */
public enum AllotmentUnit {
    /** Each request counts as one. */
    REQUEST {
        @Override
        public double costOf(int promptTokens, int outputTokens, int plainTokens) {
            return 1;
        }
    },

    /** A request counts as the tokens of its prompt and the maximum tokens of its answer. */
    TOKEN {
        @Override
        public double costOf(int promptTokens, int outputTokens, int plainTokens) {
            long tokens = (long) promptTokens + outputTokens;
            return tokens > 0 ? tokens : plainTokens;
        }
    };

    /**
     * Return what a request counts against an allotment.
     *
     * @param promptTokens the tokens of its prompt; zero if unknown
     * @param outputTokens the maximum tokens of its answer; zero if unknown
     * @param plainTokens the tokens that a request without a token count counts as
     * @return the cost, in this unit
     */
    public abstract double costOf(int promptTokens, int outputTokens, int plainTokens);
}
