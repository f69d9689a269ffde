/** The daemon's settings, and the reading and validation of its settings file. */
package org.snipewind.daemon.settings;
