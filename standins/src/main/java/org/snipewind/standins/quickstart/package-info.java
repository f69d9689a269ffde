/** The quick start, which shows the main job on one machine. */
package org.snipewind.standins.quickstart;
