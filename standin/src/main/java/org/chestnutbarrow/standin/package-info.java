/** A small platform with faults that can be switched, for tests, demo and bench: log, host list, workers and proxy. */
package org.chestnutbarrow.standin;
