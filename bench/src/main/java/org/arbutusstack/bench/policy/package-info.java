/** Runs placement and routing decisions alone, under virtual time, over a seeded trace. */
package org.arbutusstack.bench.policy;
