/** HTTP endpoints for callers and operators. */
package org.snipewind.daemon.http;
