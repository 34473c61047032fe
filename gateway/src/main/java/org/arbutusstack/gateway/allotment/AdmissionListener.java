package org.arbutusstack.gateway.allotment;

/** Strategy interface for a request that waits for tokens; notified exactly once, on the entry's event loop. */
public interface AdmissionListener {

    /**
     * Called with the decision on a request that has waited.
     *
     * @param decision whether the request is admitted or refused
     */
    void decided(Admission decision);
}
