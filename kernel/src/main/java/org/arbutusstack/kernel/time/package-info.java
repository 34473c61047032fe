/** Tells the time to code that must be testable without waiting. */
package org.arbutusstack.kernel.time;
