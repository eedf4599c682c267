/** The command line for operators and submitters. */
package org.chestnutbarrow.cli;
