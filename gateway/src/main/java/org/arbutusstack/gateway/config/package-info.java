/** Configuration of the gateway: routes, services, engines and limits. */
package org.arbutusstack.gateway.config;
