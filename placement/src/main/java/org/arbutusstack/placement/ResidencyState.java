package org.arbutusstack.placement;

/** Tells how far a model or adapter on a runner is. */
public enum ResidencyState {
    /** Its load was ordered and not yet confirmed. */
    LOADING,
    /** It answers requests. */
    READY,
    /** Its unload was ordered and not yet confirmed. */
    UNLOADING
}
