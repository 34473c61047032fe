/** Describes which runner is to hold which models. */
package org.arbutusstack.model.plan;
