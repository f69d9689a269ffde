/** Exchanges of whole HTTP messages over Micronaut's client. */
package org.snipewind.clients.transport;
