/** Authenticated MessagePack frames between daemons over TCP. */
package org.snipewind.protocol;
