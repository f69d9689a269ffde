package org.snipewind.router.path;

/**
 * Limits that hold over all instances together.
 *
 * @param repeatRatio repeated sends that a pool may get for each of its requests
 * @param repeatWindowMillis sliding window in which repeats are counted
 * @param repeatAllowance repeats above the ratio in a window
 * @param coldFactor how many times the stated rate a target in cold start bears
 * @param coldAllowance requests a second above that
 */
public record RouterLimits(
        double repeatRatio, long repeatWindowMillis, double repeatAllowance, double coldFactor, double coldAllowance) {}
