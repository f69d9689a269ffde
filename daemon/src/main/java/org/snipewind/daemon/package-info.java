/** The router daemon: its start, its wiring and its shutdown. */
package org.snipewind.daemon;
