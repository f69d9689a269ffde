/** The request path: from the caller's connection through rate limits and target selection to the response. */
package org.snipewind.router.path;
