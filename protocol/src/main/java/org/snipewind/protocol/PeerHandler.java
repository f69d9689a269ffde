package org.snipewind.protocol;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Handles messages received from authenticated peers. */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Handles a message; called on a network thread, so it must not block.
     *
     * @param senderId member id of the sender
     * @param message the message
     * @return the answer, or empty for a message that has none; if it fails, the call stays unanswered and the
     *     connection stays open
     */
    CompletionStage<Optional<PeerMessage>> handle(String senderId, PeerMessage message);
}
