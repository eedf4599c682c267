/** HTTP/1.1 server and client based on Netty; each connection carries one exchange at a time. */
package org.chestnutbarrow.http;
