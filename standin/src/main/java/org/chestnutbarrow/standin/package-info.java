/** Simulated platform services (log, host list, workers, TCP proxy) with fault injection for tests, demo and bench. */
package org.chestnutbarrow.standin;
