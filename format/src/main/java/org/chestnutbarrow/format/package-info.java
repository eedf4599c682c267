/** Reading and writing of JSON: log records, declarations, settings and jobs. */
package org.chestnutbarrow.format;
