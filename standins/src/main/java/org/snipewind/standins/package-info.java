/** Stand-ins for the platform and the targets, used by tests, the quick start and measurements. */
package org.snipewind.standins;
