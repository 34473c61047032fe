/** Registers services by name and runs their lifecycle in order. */
package org.arbutusstack.kernel.service;
