/** Stand-ins for the platform and its targets, for tests, the quick start and measurements. */
package org.snipewind.standins;
