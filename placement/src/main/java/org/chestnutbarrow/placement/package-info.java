/** Batch scheduling: decides when and on which worker each task starts. Consumes events and returns effects. */
package org.chestnutbarrow.placement;
