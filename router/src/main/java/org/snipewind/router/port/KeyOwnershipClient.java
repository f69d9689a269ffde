package org.snipewind.router.port;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.target.TargetRegistration;

/** Orders to targets that hold keys; a call without a clear answer fails and may take effect later. */
public interface KeyOwnershipClient {

    /**
     * Grants keys or renews a grant.
     *
     * @param target the target
     * @param range keys and epoch
     * @param holdMillis how long the target holds the keys from the arrival of the call
     * @param handover what the last holder handed over
     * @return false if the target has seen a higher epoch
     */
    CompletableFuture<Boolean> grant(
            TargetRegistration target, KeyAssignment range, long holdMillis, Optional<String> handover);

    /**
     * Asks whether a target answers at all.
     *
     * @param target the target
     * @param healthPath path of its health check
     * @return false if another target has the address; any other answer shows that the target is there
     */
    CompletableFuture<Boolean> probe(TargetRegistration target, String healthPath);

    /**
     * Takes keys back and waits until the work on them has ended.
     *
     * @param target the target
     * @param range keys and epoch
     * @return what the next holder is to be given
     */
    CompletableFuture<Optional<String>> release(TargetRegistration target, KeyAssignment range);
}
