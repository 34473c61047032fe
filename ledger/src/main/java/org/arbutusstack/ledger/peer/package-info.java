/** Dissemination of the ticket log between processes over their links, and the choice of the relays that read it. */
package org.arbutusstack.ledger.peer;
