/** Command-line client for operators and for users who submit jobs. */
package org.chestnutbarrow.cli;
