/** Client of the platform's key-value store. */
package org.snipewind.clients.store;
