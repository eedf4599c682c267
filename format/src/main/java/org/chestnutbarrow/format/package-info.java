/** JSON encoding of log records and parsing of declaration files, settings files and jobs. */
package org.chestnutbarrow.format;
