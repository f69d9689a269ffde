/** Open-loop load generator, and checks of the outcomes against the records of the targets. */
package org.snipewind.standins.load;
