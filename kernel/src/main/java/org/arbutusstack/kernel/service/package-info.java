/** Registration of services by name and their ordered lifecycle. */
package org.arbutusstack.kernel.service;
