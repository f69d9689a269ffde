package org.snipewind.router.port;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.target.TargetRegistration;

/**
 * Sends ownership requests to targets of divided pools. A call without a definite response fails, and the request may
 * still take effect later.
 */
public interface KeyOwnershipClient {

    /**
     * Sets the listener for targets that say that they are leaving.
     *
     * @param listener receives the incarnation of the target
     */
    default void setLeavingListener(Consumer<String> listener) {}

    /**
     * Grants a key range to a target or renews the grant.
     *
     * @param target the target
     * @param range the keys
     * @param epoch chooses the epoch when the grant is sent
     * @param grantLifetimeMillis lifetime of the grant, counted from the arrival of the request at the target
     * @param handover state that the previous holder handed over
     * @return false if the target has seen a higher epoch
     */
    CompletableFuture<Boolean> grant(
            TargetRegistration target,
            KeyAssignment range,
            GrantEpoch epoch,
            long grantLifetimeMillis,
            Optional<String> handover);

    /**
     * Checks whether a target responds.
     *
     * @param target the target
     * @param healthPath path of its health check
     * @return false if the address belongs to another target, true for any other response
     */
    CompletableFuture<Boolean> probe(TargetRegistration target, String healthPath);

    /**
     * Revokes the grant of a key range and waits until the requests for its keys have ended.
     *
     * @param target the target
     * @param range keys and epoch
     * @return state to be handed over to the next holder
     */
    CompletableFuture<Optional<String>> release(TargetRegistration target, KeyAssignment range);
}
