/** Metrics of an instance and their output formats. */
package org.snipewind.router.metrics;
