/** The duties that one instance has for the fleet: to assign keys to targets and to lend parts of the rates. */
package org.snipewind.router.lead;
