package org.snipewind.router.state;

import java.util.List;
import org.snipewind.router.port.StoreChanges;

/** Forwards the changes that this instance received from the store itself to the other instances. */
@FunctionalInterface
public interface StoreChangeForwarder {
    /**
     * Forwards changes.
     *
     * @param fromRevision revision after which the changes begin
     * @param toRevision revision up to which the changes are complete
     * @param changes the changes
     */
    void forward(long fromRevision, long toRevision, List<StoreChanges.Change> changes);
}
