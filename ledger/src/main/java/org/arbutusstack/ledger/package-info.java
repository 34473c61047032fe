/** The replicated ticket log: acceptance of tickets, the replica in each process, and its dissemination. */
package org.arbutusstack.ledger;
