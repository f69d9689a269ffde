/** Clients of the platform and of the targets, and the configuration model. */
package org.snipewind.clients;
