/** Generates traces of requests for the sample deployments. */
package org.snipewind.standins.trace;
