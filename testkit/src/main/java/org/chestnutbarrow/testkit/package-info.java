/** Helpers for the tests of the other modules. */
package org.chestnutbarrow.testkit;
