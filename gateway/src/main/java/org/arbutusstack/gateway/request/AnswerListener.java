package org.arbutusstack.gateway.request;

/** Learns what becomes of one attempt; called on the entry's loop. */
public interface AnswerListener {

    /**
     * Learns the head of the answer.
     *
     * @param head the head
     */
    void onHead(AnswerHead head);

    /**
     * Takes a part of the body.
     *
     * @param bytes the part
     */
    void onBytes(byte[] bytes);

    /** Learns that the answer is whole. */
    void onEnd();

    /**
     * Learns that there is no whole answer.
     *
     * @param maybeSent whether a byte of the request may have reached the runner
     * @param detail what happened
     */
    void onFailed(boolean maybeSent, String detail);
}
