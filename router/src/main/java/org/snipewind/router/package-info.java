/**
 * The direct request path: each instance chooses the target of a request itself and sends it there.
 *
 * <p>One control loop keeps the view of the fleet, one or more worker loops serve callers. Start at {@link Router}.
 */
package org.snipewind.router;
