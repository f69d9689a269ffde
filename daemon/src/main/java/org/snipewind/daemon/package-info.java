/** The router daemon: start, assembly of its components, and shutdown. */
package org.snipewind.daemon;
