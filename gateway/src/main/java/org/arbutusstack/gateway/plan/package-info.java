/**
 * Planning of which runners hold which models, by the entry that holds the planner's lease: the election of that entry,
 * the exchange and aggregation of demand, and the orders sent to sides.
 */
package org.arbutusstack.gateway.plan;
