/** Tickets: submission by operators, and following of the ticket log. */
package org.arbutusstack.entry.ticket;
