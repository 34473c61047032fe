/**
 * Micro-kernel on which every process of the system is built.
 *
 * <p>Features are in the subpackages; none of them depends on a role of the system.
 */
package org.arbutusstack.kernel;
