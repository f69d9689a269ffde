/** The stand-in of a target. */
package org.snipewind.standins.target;
