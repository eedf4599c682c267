/** Decides which task starts where and when; takes events in and returns effects. */
package org.chestnutbarrow.placement;
