/** HTTP/1.1 server and client on Netty, with one exchange at a time on each connection. */
package org.chestnutbarrow.http;
