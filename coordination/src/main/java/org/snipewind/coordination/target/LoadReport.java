package org.snipewind.coordination.target;

/**
 * The load that a target reports with an answer.
 *
 * @param running requests that run
 * @param waiting requests that wait for a slot
 * @param slots requests that can run at once
 * @param slowdown how many times longer than usual work takes on the target's machine at present
 */
public record LoadReport(int running, int waiting, int slots, double slowdown) {}
