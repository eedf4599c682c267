/** Liveness of daemons, freshness of this daemon's view of the log, and leases of workers. */
package org.chestnutbarrow.membership;
