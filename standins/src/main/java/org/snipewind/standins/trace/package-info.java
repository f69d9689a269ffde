/** Generates traces of requests with the sizes of the deployments. */
package org.snipewind.standins.trace;
