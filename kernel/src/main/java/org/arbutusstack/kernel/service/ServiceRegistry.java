package org.arbutusstack.kernel.service;

import java.util.List;

/**
 * Finds the services of a process by name.
 *
 * @see DefaultServiceRegistry
 */
public interface ServiceRegistry {

    /**
     * Registers a service under its name.
     *
     * @param service the service
     * @throws ServiceException if the name is taken
     */
    void register(Service service);

    /**
     * Finds a service.
     *
     * @param name the service's name
     * @param type the type it must have
     * @param <T> the type it must have
     * @return the service
     * @throws ServiceException if there is none of that name and type
     */
    <T> T lookup(String name, Class<T> type);

    /**
     * Lists the services in the order of their registration.
     *
     * @return the services
     */
    List<Service> services();
}
