/** Clients of the platform and of the targets. */
package org.snipewind.clients;
