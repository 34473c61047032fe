/** Keeps repeated log records from flooding. */
package org.arbutusstack.kernel.log;
