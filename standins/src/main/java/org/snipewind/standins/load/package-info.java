/** Open-loop load and the checks of its outcome against the records of the targets. */
package org.snipewind.standins.load;
