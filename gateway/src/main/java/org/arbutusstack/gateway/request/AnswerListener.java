package org.arbutusstack.gateway.request;

/** Callback interface for the answer to one attempt; called on the entry's event loop. */
public interface AnswerListener {

    /**
     * Called when the head of the answer has been received.
     *
     * @param head the head
     */
    void onHead(AnswerHead head);

    /**
     * Called when a part of the body has been received.
     *
     * @param bytes the part
     */
    void onBytes(byte[] bytes);

    /** Called when the answer is complete. */
    void onEnd();

    /**
     * Called when the attempt has ended since what the runner sent is no answer. It may have run the request; that it
     * sent something is no sign of a crash.
     *
     * @param detail the cause, for logs and refusals
     */
    void onMalformed(String detail);

    /**
     * Called when the attempt has ended without a complete answer.
     *
     * @param maybeSent whether a byte of the request may have reached the runner
     * @param detail the cause, for logs and refusals
     */
    void onFailed(boolean maybeSent, String detail);
}
