/** Child processes that run stand-ins and daemons. */
package org.snipewind.standins.process;
