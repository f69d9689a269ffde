/** The operators' command. */
package org.snipewind.command;
