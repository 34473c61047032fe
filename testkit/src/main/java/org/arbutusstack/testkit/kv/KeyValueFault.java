package org.arbutusstack.testkit.kv;

/** The fault that the key-value stand-in injects. */
public enum KeyValueFault {
    /** Answers every call within the rate limits. */
    NONE,
    /** Refuses every call. No call takes effect. */
    REFUSE,
    /** Leaves every call unanswered. No call takes effect. */
    HANG,
    /** Applies writes and closes the connection instead of answering. */
    LOSE_ANSWERS
}
