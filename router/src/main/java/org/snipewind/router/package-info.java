/**
 * The direct request path: each instance selects the target of a request itself and sends the request there.
 *
 * <p>One control loop maintains the view of the fleet; one or more worker loops serve callers. {@link Router} is the
 * entry point.
 */
package org.snipewind.router;
