/** The quick start, which demonstrates the router on one machine. */
package org.snipewind.standins.quickstart;
