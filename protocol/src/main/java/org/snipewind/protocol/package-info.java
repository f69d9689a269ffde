/** Messages between peers: authenticated MessagePack frames over TCP. */
package org.snipewind.protocol;
