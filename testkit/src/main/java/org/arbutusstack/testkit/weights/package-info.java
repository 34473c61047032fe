/** Stand-in for the weight store. */
package org.arbutusstack.testkit.weights;
