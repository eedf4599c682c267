/** Decisions on interactive requests: which worker, when to wait, forward, retry or refuse. */
package org.chestnutbarrow.routing;
