package org.snipewind.standins.measure;

/**
 * Options of a measurement.
 *
 * @param deployment name of the sample deployment
 * @param seconds length of each measured phase
 * @param seed seed of random choices
 */
public record MeasurementOptions(String deployment, int seconds, long seed) {}
