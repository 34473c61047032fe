package org.arbutusstack.http.event;

/**
 * Complete event of a stream.
 *
 * @param id the value of its identifier field; empty if it has none
 * @param hasData whether it has a data field
 * @param bytes the bytes of the event with the blank line that ends it; not copied
 */
public record ServerSentEvent(String id, boolean hasData, byte[] bytes) {}
