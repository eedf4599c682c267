/** Test utilities shared by the other modules. */
package org.chestnutbarrow.testkit;
