package org.snipewind.protocol;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.CompletableFuture;

/** An encoded message to send and the future of its answer; used on the event loop of its link only. */
final class OutboundCall {

    private final long callNumber;
    private final byte[] body;
    private final String messageName;
    private final boolean forwarding;
    private final boolean expectsAnswer;
    private final CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    private ScheduledFuture<?> timeout;

    OutboundCall(Frame frame) {
        this.callNumber = frame.number();
        this.body = frame.encode();
        this.messageName = frame.message().getClass().getSimpleName();
        this.forwarding = Frame.isForwarding(frame.message());
        this.expectsAnswer = frame.kind() == FrameKind.CALL;
    }

    long callNumber() {
        return callNumber;
    }

    byte[] body() {
        return body;
    }

    String messageName() {
        return messageName;
    }

    boolean isForwarding() {
        return forwarding;
    }

    boolean expectsAnswer() {
        return expectsAnswer;
    }

    CompletableFuture<PeerMessage> answer() {
        return answer;
    }

    void setTimeout(ScheduledFuture<?> newTimeout) {
        timeout = newTimeout;
    }

    void complete(PeerMessage message) {
        cancelTimeout();
        answer.complete(message);
    }

    void fail(String message, boolean sent, Throwable cause) {
        cancelTimeout();
        answer.completeExceptionally(new PeerException(message, sent, cause));
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }
}
