package org.arbutusstack.bench.deployment;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.arbutusstack.testkit.Json;

/** Builder of tickets in JSON. Not thread-safe. */
public final class TicketBuilder {

    private static final String VERSION = "v1";

    private final ObjectNode ticket = Json.object();

    private final ArrayNode services;

    private final ArrayNode models;

    private final ArrayNode adapters;

    /**
     * Create a builder of an empty ticket.
     *
     * @param number the number of the ticket
     */
    public TicketBuilder(long number) {
        ticket.put("number", number);
        services = ticket.putArray("services");
        models = ticket.putArray("models");
        adapters = ticket.putArray("adapters");
    }

    /**
     * Add an idempotent service of model engines.
     *
     * @param name the name of the service
     * @return this builder
     */
    public TicketBuilder engineService(String name) {
        services.addObject().put("name", name).put("kind", "ENGINE").put("idempotent", true);
        return this;
    }

    /**
     * Add a plain service whose calls are not idempotent.
     *
     * @param name the name of the service
     * @return this builder
     */
    public TicketBuilder plainService(String name) {
        services.addObject().put("name", name).put("kind", "PLAIN").put("idempotent", false);
        return this;
    }

    /**
     * Add a model with a minimum of one copy.
     *
     * @param name the name of the model
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
     * Add an adapter.
     *
     * @param name the name of the adapter
     * @param model the name of the model that it adapts
     * @param memoryMb the memory of the adapter, in mebibytes
     * @return this builder
     */
    public TicketBuilder adapter(String name, String model, long memoryMb) {
        ObjectNode adapter = adapters.addObject();
        adapter.put("name", name).put("model", model).put("version", VERSION);
        adapter.put("memoryMb", memoryMb);
        return this;
    }

    /**
     * Return the ticket as JSON.
     *
     * @return the JSON text
     */
    public String json() {
        return new String(Json.write(ticket), StandardCharsets.UTF_8);
    }
}
