/** Local copies of the store's records, their updates and their distribution to peers. */
package org.snipewind.daemon.record;
