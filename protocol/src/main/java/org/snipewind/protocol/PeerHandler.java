package org.snipewind.protocol;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Handles the messages that authenticated peers send. */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Handles a message; called on a network thread, so it must not block.
     *
     * @param senderId member id of the sender
     * @param message the message
     * @return the answer, or empty for a message that has none; a failure closes nothing and leaves the call unanswered
     */
    CompletionStage<Optional<PeerMessage>> handle(String senderId, PeerMessage message);
}
