package org.snipewind.clients.configuration;

import java.util.Optional;

/**
 * The reason why a revision was not accepted, or not known to be accepted.
 *
 * @param kind kind of the failure
 * @param winner the revision that is in the store in place of the base, if there is one
 * @param detail a sentence for the operator
 */
public record AcceptFailure(Kind kind, Optional<ConfigurationRevision> winner, String detail) {

    /** Kind of a failure. */
    public enum Kind {
        /** Another revision is current; nothing was changed. */
        CONFLICT,
        /** The store did not tell whether the change took effect. */
        UNKNOWN,
        /** The store was not reachable before anything was changed. */
        UNREACHABLE,
        /** The change itself cannot be made; nothing was changed. */
        INVALID
    }
}
