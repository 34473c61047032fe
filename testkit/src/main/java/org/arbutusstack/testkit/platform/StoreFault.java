package org.arbutusstack.testkit.platform;

/** The fault that the stand-in for the metadata store injects. */
public enum StoreFault {
    /** No fault. */
    NONE,

    /** Every call is answered with status 503. */
    DOWN,

    /** Every call is answered with status 429. */
    BUSY,

    /** Calls take no effect and are not answered. */
    SILENT,

    /** Calls take effect and are not answered. */
    ANSWER_LOST
}
