package org.arbutusstack.http.response;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Decoder of a body whose length the head states. */
final class SizedBodyDecoder implements BodyDecoder {

    private long remainingBytes;

    SizedBodyDecoder(long lengthBytes) {
        this.remainingBytes = lengthBytes;
    }

    @Override
    public void decode(ByteBuffer bytes, ByteArrayOutputStream content) {
        remainingBytes -= BodyDecoder.move(bytes, remainingBytes, content);
    }

    @Override
    public boolean isComplete() {
        return remainingBytes == 0;
    }

    @Override
    public String describeRest() {
        return remainingBytes + " bytes";
    }
}
