/** Tickets, the objects that they touch, and the desired state that results from the accepted tickets. */
package org.arbutusstack.model.ticket;
