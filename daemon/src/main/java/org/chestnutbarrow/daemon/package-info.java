/** The daemon program: threads, HTTP front end, metrics and logs around the scheduling libraries. */
package org.chestnutbarrow.daemon;
