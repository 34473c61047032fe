package org.arbutusstack.bench.deployment;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.arbutusstack.testkit.Json;

/** Builds a ticket in JSON. To be used by one thread. */
public final class TicketBuilder {

    private static final String VERSION = "v1";

    private final ObjectNode ticket = Json.object();

    private final ArrayNode services;

    private final ArrayNode models;

    private final ArrayNode adapters;

    /**
     * Begins a ticket.
     *
     * @param number its number
     */
    public TicketBuilder(long number) {
        ticket.put("number", number);
        services = ticket.putArray("services");
        models = ticket.putArray("models");
        adapters = ticket.putArray("adapters");
    }

    /**
     * Adds a service of model engines.
     *
     * @param name its name
     * @return this builder
     */
    public TicketBuilder engineService(String name) {
        services.addObject().put("name", name).put("kind", "ENGINE").put("idempotent", true);
        return this;
    }

    /**
     * Adds a plain service whose calls may not be repeated.
     *
     * @param name its name
     * @return this builder
     */
    public TicketBuilder plainService(String name) {
        services.addObject().put("name", name).put("kind", "PLAIN").put("idempotent", false);
        return this;
    }

    /**
     * Adds a model with one copy at the least.
     *
     * @param name its name
     * @param service the service that holds it
     * @param memoryMb the memory of a copy, in mebibytes
     * @return this builder
     */
    public TicketBuilder model(String name, String service, long memoryMb) {
        ObjectNode model = models.addObject();
        model.put("name", name).put("service", service).put("version", VERSION);
        model.put("memoryMb", memoryMb).put("minimumCopies", 1);
        return this;
    }

    /**
     * Adds an adapter.
     *
     * @param name its name
     * @param model the model that it adapts
     * @param memoryMb its memory, in mebibytes
     * @return this builder
     */
    public TicketBuilder adapter(String name, String model, long memoryMb) {
        ObjectNode adapter = adapters.addObject();
        adapter.put("name", name).put("model", model).put("version", VERSION);
        adapter.put("memoryMb", memoryMb);
        return this;
    }

    /**
     * Writes the ticket.
     *
     * @return its JSON
     */
    public String json() {
        return new String(Json.write(ticket), StandardCharsets.UTF_8);
    }
}
