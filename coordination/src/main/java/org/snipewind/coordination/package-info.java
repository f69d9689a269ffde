/** The embeddable coordination library. */
package org.snipewind.coordination;
