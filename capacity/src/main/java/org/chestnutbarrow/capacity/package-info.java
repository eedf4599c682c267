/** Exact accounting of the capacity in use on the workers whose lease a daemon holds. */
package org.chestnutbarrow.capacity;
