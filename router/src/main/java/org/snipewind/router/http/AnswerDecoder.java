package org.snipewind.router.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers, of which those to HEAD requests have no body whatever their headers say. */
final class AnswerDecoder extends HttpResponseDecoder {

    private boolean headRequest;

    AnswerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    void expectAnswerToHead(boolean head) {
        headRequest = head;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequest || super.isContentAlwaysEmpty(message);
    }
}
