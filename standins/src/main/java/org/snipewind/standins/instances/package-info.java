/** Stand-in for the platform's instance list. */
package org.snipewind.standins.instances;
