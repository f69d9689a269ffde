package org.snipewind.clients.store;

import java.util.Optional;

/**
 * Outcome of a conditional write, as far as it could be determined.
 *
 * @param kind what is known about the write
 * @param current value read back from the store if the write conflicted or its outcome is unknown, if there is one
 * @param version version in the store, 0 if it is not known or there is no value
 */
public record WriteOutcome(Kind kind, Optional<VersionedValue> current, long version) {

    /** What is known about a write. */
    public enum Kind {
        /** The write took effect. */
        APPLIED,
        /** Another write took effect instead. */
        CONFLICT,
        /** It is not known whether the write took effect; it may still do so later. */
        UNKNOWN
    }
}
