//! Access to the platform: table service, object store, host list, engines, plain services, weight store.
