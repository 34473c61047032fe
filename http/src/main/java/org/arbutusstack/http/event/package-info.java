/** Parser of server-sent events. */
package org.arbutusstack.http.event;
