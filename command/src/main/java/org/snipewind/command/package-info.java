/** The operators' command {@code snipewind}: its subcommands and the access to the store and the daemons. */
package org.snipewind.command;
