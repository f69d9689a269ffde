/** The stand-in of the platform's key-value service. */
package org.snipewind.standins.store;
