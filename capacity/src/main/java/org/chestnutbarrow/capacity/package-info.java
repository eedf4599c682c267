/** Exact accounts of what is in use on the workers that a daemon holds the lease of. */
package org.chestnutbarrow.capacity;
