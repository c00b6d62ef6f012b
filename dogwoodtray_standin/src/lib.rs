//! Stand-ins for the model engine, a plain service and the platform.
