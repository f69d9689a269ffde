package org.snipewind.standins.server;

import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.Map;

/** An HTTP server on the loopback address that passes all requests to one stand-in. */
public final class StandInServer implements AutoCloseable {

    private static final String HOST = "127.0.0.1";

    private final ApplicationContext context;
    private final EmbeddedServer server;

    private StandInServer(ApplicationContext context, EmbeddedServer server) {
        this.context = context;
        this.server = server;
    }

    /**
     * Starts a server.
     *
     * @param handler the stand-in
     * @param port TCP port, or 0 for a free one
     * @return the running server
     */
    public static StandInServer start(StandInHandler handler, int port) {
        ApplicationContext context = ApplicationContext.builder()
                .deduceEnvironment(false)
                .banner(false)
                .environmentPropertySource(false)
                .singletons(handler)
                .properties(Map.of(
                        "micronaut.server.host",
                        HOST,
                        "micronaut.server.port",
                        port == 0 ? -1 : port,
                        "micronaut.server.max-request-size",
                        "2MB",
                        "micronaut.netty.event-loops.default.num-threads",
                        2))
                .start();
        EmbeddedServer server = context.getBean(EmbeddedServer.class).start();
        return new StandInServer(context, server);
    }

    /**
     * Returns the address of the server.
     *
     * @return host and port
     */
    public String address() {
        return HOST + ":" + server.getPort();
    }

    @Override
    public void close() {
        context.close();
    }
}
