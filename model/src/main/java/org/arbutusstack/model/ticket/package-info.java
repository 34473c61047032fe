/** Describes tickets, the objects they touch, and the state that follows from the accepted ones. */
package org.arbutusstack.model.ticket;
