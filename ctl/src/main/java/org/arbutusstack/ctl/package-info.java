/** Holds the arbutusctl binary. */
package org.arbutusstack.ctl;
