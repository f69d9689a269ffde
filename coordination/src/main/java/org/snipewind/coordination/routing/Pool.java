package org.snipewind.coordination.routing;

/**
 * A pool of targets that run the same software.
 *
 * @param name name of the pool
 * @param keyed whether each key has one owner among the targets
 * @param maxConnections connections that one target accepts in total
 * @param coldStartRatePerSecond requests per second that a target in cold start can serve, 0 for no limit
 * @param healthPath path of the targets' health check
 */
public record Pool(String name, boolean keyed, int maxConnections, double coldStartRatePerSecond, String healthPath) {}
