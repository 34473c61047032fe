/** Takes tickets from operators and follows the ticket log. */
package org.arbutusstack.entry.ticket;
