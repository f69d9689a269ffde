package org.snipewind.router.path;

import java.util.ArrayList;
import java.util.List;
import org.snipewind.router.http.HttpConnection;

/** The connections to targets on which one request was sent. Confined to the worker's event loop. */
final class UsedConnections {

    private final List<HttpConnection> connections = new ArrayList<>();

    void add(HttpConnection connection) {
        connections.add(connection);
    }

    /**
     * Returns whether an open connection may be used for the next attempt. A second copy of an earlier response on it
     * could be taken for the response to this attempt if both have the same id, or if the request has none.
     */
    boolean mayReuse(HttpConnection connection, boolean requestHasId) {
        return requestHasId && !connections.contains(connection);
    }
}
