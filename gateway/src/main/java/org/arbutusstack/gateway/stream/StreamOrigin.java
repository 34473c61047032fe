package org.arbutusstack.gateway.stream;

/** What an entry knows of the version at which a stream has begun that a caller takes up. */
public sealed interface StreamOrigin {

    /** The stream has begun at a version. */
    record Known(String version) implements StreamOrigin {}

    /** The stream may go on at any runner: all of them have had one version since it can have begun. */
    record Any() implements StreamOrigin {}

    /** Sides have been asked. */
    record Pending() implements StreamOrigin {}

    /** The stream may have begun at one of several versions, and nobody remembers at which. */
    record Unknown() implements StreamOrigin {}
}
