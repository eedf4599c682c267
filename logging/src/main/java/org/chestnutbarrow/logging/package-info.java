/** Event lines of key=value pairs and where they go. */
package org.chestnutbarrow.logging;
