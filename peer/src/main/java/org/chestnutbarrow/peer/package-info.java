/** Messages between daemons: MessagePack frames over TCP. */
package org.chestnutbarrow.peer;
