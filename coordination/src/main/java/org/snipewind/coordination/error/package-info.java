/** The error kinds of refused or failed requests, and the refusals that carry them. */
package org.snipewind.coordination.error;
