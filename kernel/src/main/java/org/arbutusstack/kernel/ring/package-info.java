/** Joins the threads of a process by bounded rings. */
package org.arbutusstack.kernel.ring;
