/** The demo, load experiments and the harness that starts a whole deployment as processes. */
package org.chestnutbarrow.bench;
