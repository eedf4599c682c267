/** Routing of interactive requests: worker selection, queueing, forwarding to peers, retries and refusals. */
package org.chestnutbarrow.routing;
