/** Copies of the records of the store, their updates and their distribution. */
package org.snipewind.daemon.record;
