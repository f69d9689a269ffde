package org.snipewind.standins.trace;

/**
 * Load of one organisation.
 *
 * @param name name of the organisation
 * @param requestsPerSecond mean rate of arrivals
 */
public record OrganisationLoad(String name, double requestsPerSecond) {}
