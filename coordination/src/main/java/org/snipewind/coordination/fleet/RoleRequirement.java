package org.snipewind.coordination.fleet;

import java.util.Optional;

/**
 * A role that the fleet requires, and the preferred location of its holder.
 *
 * @param role name of the role
 * @param region preferred region of the holder, or empty for any region
 * @param avoidedDataCentre data centre in which the holder should not run, so that the loss of one data centre does not
 *     affect both the holder and the target that it supervises; empty for any data centre
 */
public record RoleRequirement(String role, Optional<String> region, Optional<String> avoidedDataCentre) {

    /**
     * Creates a requirement without a preferred location.
     *
     * @param role name of the role
     * @return a requirement without region and avoided data centre
     */
    public static RoleRequirement anywhere(String role) {
        return new RoleRequirement(role, Optional.empty(), Optional.empty());
    }
}
