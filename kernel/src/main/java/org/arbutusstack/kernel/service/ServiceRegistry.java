package org.arbutusstack.kernel.service;

import java.util.List;

/**
 * Registry of the services of a process, by name.
 *
 * @see DefaultServiceRegistry
 */
public interface ServiceRegistry {

    /**
     * Register a service under its name.
     *
     * @param service the service to register
     * @throws ServiceException if a service of that name is already registered
     */
    void register(Service service);

    /**
     * Look up a service by name and type.
     *
     * @param name the service's name
     * @param type the required type
     * @param <T> the required type
     * @return the service
     * @throws ServiceException if no service has that name and type
     */
    <T> T lookup(String name, Class<T> type);

    /**
     * Return the services in the order of their registration.
     *
     * @return the services
     */
    List<Service> services();
}
