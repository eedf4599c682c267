/** Checks of a configuration before nodes read it: decisions on records, without I/O and without names on the wire. */
package org.chestnutbarrow.configcheck;
