//! Stand-ins for the platform, a fault-injecting proxy and a load tool, for tests and examples.
