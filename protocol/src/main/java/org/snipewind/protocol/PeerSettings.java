package org.snipewind.protocol;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.SslContext;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of the connections to and from peers.
 *
 * @param memberId member id of this process, different for each incarnation
 * @param host address to listen on
 * @param port port to listen on, 0 for any free port
 * @param secret the fleet's shared secret, at least 16 bytes
 * @param serverTls TLS for accepted connections, empty for plain TCP
 * @param clientTls TLS for opened connections, empty for plain TCP
 * @param eventLoops NIO event loops that are shared with others and shut down by their owner; if empty, server and
 *     client connections create and shut down their own
 * @param counters counters of events
 * @param linkFilter decides which peers messages are sent to
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

    /** Validates the member id and the secret and copies the secret. */
    public PeerSettings {
        // The limit of handshake messages allows for the longest member id, even if each character takes 3 bytes.
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
     * Creates settings with plain TCP, separate event loops, default limits and no counters.
     *
     * @param memberId member id of this process
     * @param host address to listen on
     * @param port port to listen on, 0 for any free port
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
     * Returns settings with TLS for accepted and opened connections.
     *
     * @param server context for accepted connections
     * @param client context for opened connections
     * @return the changed settings
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
     * Returns settings with event loops that are shared with others in this process.
     *
     * @param group NIO event loops, which their owner shuts down
     * @return the changed settings
     */
    public PeerSettings withEventLoops(EventLoopGroup group) {
        return new PeerSettings(
                memberId, host, port, secret, serverTls, clientTls, Optional.of(group), counters, linkFilter, limits);
    }

    /**
     * Returns settings with other counters.
     *
     * @param newCounters counters of events
     * @return the changed settings
     */
    public PeerSettings withCounters(PeerCounters newCounters) {
        return new PeerSettings(
                memberId, host, port, secret, serverTls, clientTls, eventLoops, newCounters, linkFilter, limits);
    }

    /**
     * Returns settings with another filter of peers.
     *
     * @param newFilter decides which peers messages are sent to
     * @return the changed settings
     */
    public PeerSettings withLinkFilter(PeerLinkFilter newFilter) {
        return new PeerSettings(
                memberId, host, port, secret, serverTls, clientTls, eventLoops, counters, newFilter, limits);
    }

    /**
     * Returns settings with other limits.
     *
     * @param newLimits limits of the connections
     * @return the changed settings
     */
    public PeerSettings withLimits(PeerLimits newLimits) {
        return new PeerSettings(
                memberId, host, port, secret, serverTls, clientTls, eventLoops, counters, linkFilter, newLimits);
    }
}
