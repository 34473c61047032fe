/** Rate limits for repeated log records. */
package org.arbutusstack.kernel.log;
