/** Peer-to-peer messaging between daemons: authenticated TCP connections that carry MessagePack frames. */
package org.chestnutbarrow.peer;
