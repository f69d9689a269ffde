/** The closed list of error kinds and the refusals built from it. */
package org.snipewind.coordination.error;
