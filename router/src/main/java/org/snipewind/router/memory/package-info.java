/** The account of the memory that the connections of clients take, and the rule that decides which one is closed. */
package org.snipewind.router.memory;
