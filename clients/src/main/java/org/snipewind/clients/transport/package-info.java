/** Exchanges of complete HTTP messages over Micronaut's HTTP client. */
package org.snipewind.clients.transport;
