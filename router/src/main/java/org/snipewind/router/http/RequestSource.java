package org.snipewind.router.http;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;

/** Supplies a request once it is known on which connection it is sent. */
@FunctionalInterface
public interface RequestSource {

    /**
     * Returns the request.
     *
     * @param connection number of the connection, unique within this process
     * @return the request, which the connection releases, or empty if none is to be sent
     */
    Optional<FullHttpRequest> requestOn(long connection);

    /** Releases the request if it will not be sent. */
    default void discard() {}

    /**
     * Returns the source of a request that does not depend on the connection.
     *
     * @param request the request
     * @return its source
     */
    static RequestSource of(FullHttpRequest request) {
        return new RequestSource() {
            @Override
            public Optional<FullHttpRequest> requestOn(long connection) {
                return Optional.of(request);
            }

            @Override
            public void discard() {
                request.release();
            }
        };
    }
}
