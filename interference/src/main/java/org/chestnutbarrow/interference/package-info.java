/** Estimation and mitigation of the interference of batch tasks with interactive requests. */
package org.chestnutbarrow.interference;
