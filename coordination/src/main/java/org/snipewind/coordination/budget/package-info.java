/** Fleet-wide rate and burst of organisations. */
package org.snipewind.coordination.budget;
