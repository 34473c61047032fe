/** Decisions on teams: who may call, with which urgency, and for how long a configuration may be relied on. */
package org.arbutusstack.gateway.team;
