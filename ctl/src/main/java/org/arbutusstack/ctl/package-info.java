/** The operators' command line tool {@code arbutusctl}. */
package org.arbutusstack.ctl;
