package org.snipewind.coordination.target;

/**
 * The load that a target reports with a response.
 *
 * @param running number of requests that are running
 * @param waiting number of requests that wait for a slot
 * @param slots number of requests that can run concurrently
 * @param slowdown factor by which work on the target's machine currently takes longer than usual
 */
public record LoadReport(int running, int waiting, int slots, double slowdown) {}
