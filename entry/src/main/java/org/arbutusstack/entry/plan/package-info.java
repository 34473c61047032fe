/** Planning of the services whose lease this process holds. */
package org.arbutusstack.entry.plan;
