package org.arbutusstack.gateway.team;

import java.util.Optional;
import org.arbutusstack.gateway.config.Team;

/** Decision on whether a caller may have its request run. */
public sealed interface Admission {

    /**
     * The caller needs no key, or its key is one of a team.
     *
     * @param team the team; empty if the caller needs no key
     * @param urgency the urgency of the request in an engine; zero is the most urgent
     */
    record Admitted(Optional<Team> team, int urgency) implements Admission {}

    /**
     * The request has no key in the required form, or one that no team holds.
     *
     * @param detail a sentence for the caller, without the key
     */
    record UnknownKey(String detail) implements Admission {}

    /**
     * The configuration may be out of date, so that no key can be accepted.
     *
     * @param retryAfterMillis the time after which a retry may succeed, in milliseconds
     */
    record Stale(long retryAfterMillis) implements Admission {}
}
