/** Stand-in for the platform's key-value service. */
package org.snipewind.standins.store;
