/** Placement of jobs made of steps: decisions only, without clocks, threads or encodings of their own. */
package org.chestnutbarrow.batch;
