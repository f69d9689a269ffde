package org.snipewind.clients.store;

import java.util.Optional;

/**
 * The settled outcome of a conditional write.
 *
 * @param kind what is known about the write
 * @param current value read back from the store after a conflict or a lost answer, if there is one
 * @param version version in the store as far as it is known, otherwise 0
 */
public record WriteOutcome(Kind kind, Optional<VersionedValue> current, long version) {

    /** What is known about a write. */
    public enum Kind {
        /** The write took effect. */
        APPLIED,
        /** Another write took effect instead. */
        CONFLICT,
        /** The store did not tell whether the write took effect, and it may still do so. */
        UNKNOWN
    }
}
