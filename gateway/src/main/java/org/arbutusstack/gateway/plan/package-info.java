/** Plans which runners hold which models while this entry holds the planner's lease. */
package org.arbutusstack.gateway.plan;
