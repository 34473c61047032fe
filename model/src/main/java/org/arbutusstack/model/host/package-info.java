/** The hosts of the system, their roles and their locations. */
package org.arbutusstack.model.host;
