package org.snipewind.protocol;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.SslContext;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of a daemon's connections to and from its peers.
 *
 * @param memberId member id of this daemon, which contains its incarnation
 * @param host address to listen on
 * @param port port to listen on, 0 for any free one
 * @param secret the fleet's shared secret, at least 16 bytes
 * @param serverTls TLS for accepted connections, empty for plain TCP
 * @param clientTls TLS for opened connections, empty for plain TCP
 * @param eventLoops NIO event loops shared with others and not shut down here, empty for own ones
 * @param counters counts events
 * @param linkFilter decides which peers can be reached
 * @param limits limits of the connections
 */
@SuppressWarnings("ArrayRecordComponent")
public record PeerSettings(
        String memberId,
        String host,
        int port,
        byte[] secret,
        Optional<SslContext> serverTls,
        Optional<SslContext> clientTls,
        Optional<EventLoopGroup> eventLoops,
        PeerCounters counters,
        PeerLinkFilter linkFilter,
        PeerLimits limits) {

    private static final int MIN_SECRET_BYTES = 16;
    private static final int MAX_MEMBER_ID_CHARACTERS = 200;

    /** Checks the member id and the secret and copies the secret. */
    public PeerSettings {
        // A handshake message with the longest id of 3-byte characters stays below the limit of handshake frames.
        if (memberId.isEmpty() || memberId.length() > MAX_MEMBER_ID_CHARACTERS) {
            throw new IllegalArgumentException("member id must have 1 to " + MAX_MEMBER_ID_CHARACTERS + " characters");
        }
        if (secret.length < MIN_SECRET_BYTES) {
            throw new IllegalArgumentException("shared secret must have at least " + MIN_SECRET_BYTES + " bytes");
        }
        secret = secret.clone();
        Objects.requireNonNull(host);
        Objects.requireNonNull(serverTls);
        Objects.requireNonNull(clientTls);
        Objects.requireNonNull(eventLoops);
        Objects.requireNonNull(counters);
        Objects.requireNonNull(linkFilter);
        Objects.requireNonNull(limits);
    }

    /**
     * Creates settings with plain TCP, own event loops, default limits and no counters.
     *
     * @param memberId member id of this daemon
     * @param host address to listen on
     * @param port port to listen on, 0 for any free one
     * @param secret the fleet's shared secret
     * @return the settings
     */
    public static PeerSettings of(String memberId, String host, int port, byte[] secret) {
        return new PeerSettings(
                memberId,
                host,
                port,
                secret,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                PeerCounters.NONE,
                PeerLinkFilter.ALL,
                PeerLimits.DEFAULT);
    }

    /**
     * Sets TLS for both directions.
     *
     * @param server context for accepted connections
     * @param client context for opened connections
     * @return changed settings
     */
    public PeerSettings withTls(SslContext server, SslContext client) {
        return new PeerSettings(
                memberId,
                host,
                port,
                secret,
                Optional.of(server),
                Optional.of(client),
                eventLoops,
                counters,
                linkFilter,
                limits);
    }

    /**
     * Sets event loops that several daemons of one process share.
     *
     * @param group NIO event loops; their owner shuts them down
     * @return changed settings
     */
    public PeerSettings withEventLoops(EventLoopGroup group) {
        return new PeerSettings(
                memberId, host, port, secret, serverTls, clientTls, Optional.of(group), counters, linkFilter, limits);
    }

    /**
     * Sets the counters.
     *
     * @param newCounters counts events
     * @return changed settings
     */
    public PeerSettings withCounters(PeerCounters newCounters) {
        return new PeerSettings(
                memberId, host, port, secret, serverTls, clientTls, eventLoops, newCounters, linkFilter, limits);
    }

    /**
     * Sets the filter of reachable peers.
     *
     * @param newFilter decides which peers can be reached
     * @return changed settings
     */
    public PeerSettings withLinkFilter(PeerLinkFilter newFilter) {
        return new PeerSettings(
                memberId, host, port, secret, serverTls, clientTls, eventLoops, counters, newFilter, limits);
    }

    /**
     * Sets the limits.
     *
     * @param newLimits limits of the connections
     * @return changed settings
     */
    public PeerSettings withLimits(PeerLimits newLimits) {
        return new PeerSettings(
                memberId, host, port, secret, serverTls, clientTls, eventLoops, counters, linkFilter, newLimits);
    }
}
