/** Interfaces to the platform's log, host list and workers, with their HTTP clients. */
package org.chestnutbarrow.ports;
