/** The daemon's settings file and its checks. */
package org.snipewind.daemon.settings;
