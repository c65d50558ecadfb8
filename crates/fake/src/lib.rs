//! Stand-ins for the platform and the endpoints: key-value service, cloud, engine and service, with faults.
