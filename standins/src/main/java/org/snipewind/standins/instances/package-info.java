/** The stand-in of the platform's list of instances. */
package org.snipewind.standins.instances;
