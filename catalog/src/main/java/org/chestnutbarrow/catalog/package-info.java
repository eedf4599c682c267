/** The state that results from applying the records of the log in order. */
package org.chestnutbarrow.catalog;
