/** Describes what operators want served: routes, services, engines and limits. */
package org.arbutusstack.gateway.config;
