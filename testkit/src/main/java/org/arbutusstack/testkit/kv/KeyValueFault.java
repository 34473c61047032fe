package org.arbutusstack.testkit.kv;

/** Tells how the key-value stand-in misbehaves. */
public enum KeyValueFault {
    /** It answers every call within its rates. */
    NONE,
    /** It refuses every call; none takes effect. */
    REFUSE,
    /** It takes no call into effect and never answers. */
    HANG,
    /** It takes writes into effect and closes the connection in place of an answer. */
    LOSE_ANSWERS
}
