/** Parser of HTTP/1.1 responses, which decides what counts as a response; does no I/O. */
package org.arbutusstack.http.response;
