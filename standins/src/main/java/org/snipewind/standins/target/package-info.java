/** Stand-in for a target. */
package org.snipewind.standins.target;
