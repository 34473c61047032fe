/**
 * Holds the micro-kernel: what every process of the system is built from.
 *
 * <p>Features live in the packages below this one; none of them knows a role of the system.
 */
package org.arbutusstack.kernel;
