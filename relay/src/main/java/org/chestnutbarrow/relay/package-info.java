/** Lets an owner call workers through other nodes, which spares its own processor and link. */
package org.chestnutbarrow.relay;
