/** Clock abstraction that lets time-dependent code be tested without waiting. */
package org.arbutusstack.kernel.time;
