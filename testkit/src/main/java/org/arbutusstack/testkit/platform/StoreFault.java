package org.arbutusstack.testkit.platform;

/** Names what the platform's store does wrong. */
public enum StoreFault {
    /** Nothing. */
    NONE,

    /** It answers 503. */
    DOWN,

    /** It answers 429. */
    BUSY,

    /** It answers nothing and does nothing. */
    SILENT,

    /** It does what is asked and answers nothing. */
    ANSWER_LOST
}
