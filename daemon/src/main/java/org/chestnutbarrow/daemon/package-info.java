/** The daemon: threads, HTTP front end, metrics and logs around the decision libraries. */
package org.chestnutbarrow.daemon;
