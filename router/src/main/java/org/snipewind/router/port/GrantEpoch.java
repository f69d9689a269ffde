package org.snipewind.router.port;

import java.util.OptionalLong;

/** Chooses the epoch of a grant once it is known on which connection to the target it is sent. */
@FunctionalInterface
public interface GrantEpoch {

    /**
     * Returns the epoch.
     *
     * @param connection number of the connection, unique within this process
     * @return the epoch, empty if the grant must not be sent
     */
    OptionalLong on(long connection);
}
