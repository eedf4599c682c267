/** Which daemons are alive, how fresh this daemon's view of the log is, and which workers it should hold. */
package org.chestnutbarrow.membership;
