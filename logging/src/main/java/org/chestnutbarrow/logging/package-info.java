/** Logging of events as lines of key=value pairs, and configuration of the log output. */
package org.chestnutbarrow.logging;
