package org.snipewind.coordination.ownership;

import java.util.Optional;

/**
 * Ownership of one slice of keys.
 *
 * @param owner name of the target that owns the slice, or empty while no target can take it
 * @param releasing name of the previous owner that has not yet released the slice, or empty if there is none
 */
public record SliceOwnership(Optional<String> owner, Optional<String> releasing) {

    /** A slice that was never assigned. */
    public static final SliceOwnership UNASSIGNED = new SliceOwnership(Optional.empty(), Optional.empty());

    /**
     * Returns whether the owner may serve the slice.
     *
     * @param target name of a target
     * @return true if the target owns the slice and no previous owner may still serve it
     */
    public boolean isServableBy(String target) {
        return releasing.isEmpty() && owner.isPresent() && owner.get().equals(target);
    }
}
