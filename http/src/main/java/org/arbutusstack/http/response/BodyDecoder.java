package org.arbutusstack.http.response;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Strategy interface for finding the content, and its end, in the bytes that follow a head. */
interface BodyDecoder {

    /**
     * Decode bytes up to the end of the body.
     *
     * @param bytes the bytes that were received
     * @param content receives the content in them
     * @throws ResponseFormatException if the bytes are no body of this kind
     */
    void decode(ByteBuffer bytes, ByteArrayOutputStream content) throws ResponseFormatException;

    /** Return whether the body has ended. */
    boolean isComplete();

    /** Return whether the end of the connection ends the body. */
    default boolean endsWithConnection() {
        return false;
    }

    /** Describe what is missing of a body that has not ended. */
    String describeRest();

    /** Move bytes, at most a given number of them, to the content; return their number. */
    static int move(ByteBuffer bytes, long max, ByteArrayOutputStream content) {
        int count = (int) Math.min(bytes.remaining(), max);
        byte[] part = new byte[count];
        bytes.get(part);
        content.writeBytes(part);
        return count;
    }
}
