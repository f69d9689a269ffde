package org.snipewind.coordination.fleet;

import java.util.Optional;

/**
 * A role that the fleet needs, and where its holder is best placed.
 *
 * @param role name of the role
 * @param region region of which the holder is preferred, or empty if any will do
 * @param avoidedDataCentre data centre of which the holder is avoided, so that one loss does not take both
 */
public record RoleRequirement(String role, Optional<String> region, Optional<String> avoidedDataCentre) {

    /**
     * Creates a requirement that any member fulfils.
     *
     * @param role name of the role
     * @return a requirement without region or avoided data centre
     */
    public static RoleRequirement anywhere(String role) {
        return new RoleRequirement(role, Optional.empty(), Optional.empty());
    }
}
