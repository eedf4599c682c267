/** Interfaces to the platform's log, host list and workers, and their HTTP implementations. */
package org.chestnutbarrow.ports;
