/** Holds the ctl package. */
package org.arbutusstack.ctl;
