/** Estimates of how batch tasks disturb interactive requests, and what to do about it. */
package org.chestnutbarrow.interference;
