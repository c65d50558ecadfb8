//! Client of the platform's key-value service: conditional writes, leases, watches and a budget of calls.
