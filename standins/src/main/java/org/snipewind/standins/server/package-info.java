/** The HTTP server that all stand-ins share. */
package org.snipewind.standins.server;
