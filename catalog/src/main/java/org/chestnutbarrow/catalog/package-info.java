/** The state that follows from the log's records in order. */
package org.chestnutbarrow.catalog;
