/** The way of a request: from the caller's connection through limits and the choice of a target to the answer. */
package org.snipewind.router.path;
