package org.snipewind.router.http;

/**
 * A finding of bytes that belong to no request of their connection.
 *
 * @param kind where they were found
 * @param localPort local port of the connection, which tells it from others to the same server
 * @param exchange number of the exchange in progress, or of the last one; the first one is 1
 * @param bytes number of bytes that are known to belong to no request; 0 if they were consumed as part of a response
 * @param ageMillis time since the exchange began, or since it ended on an idle connection
 */
public record UnsolicitedBytes(UnsolicitedKind kind, int localPort, int exchange, int bytes, long ageMillis) {}
