package org.arbutusstack.http.response;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Decoder of a body that ends with its connection. */
final class UnsizedBodyDecoder implements BodyDecoder {

    @Override
    public void decode(ByteBuffer bytes, ByteArrayOutputStream content) {
        BodyDecoder.move(bytes, Long.MAX_VALUE, content);
    }

    @Override
    public boolean isComplete() {
        return false;
    }

    @Override
    public boolean endsWithConnection() {
        return true;
    }

    @Override
    public String describeRest() {
        return "the end of the connection";
    }
}
