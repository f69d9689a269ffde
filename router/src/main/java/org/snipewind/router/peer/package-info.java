/** What the instances tell each other: demand and loans, and copies of the store for those that can't reach it. */
package org.snipewind.router.peer;
