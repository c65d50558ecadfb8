//! Names of the HTTP headers that fake servers read and write.

/// Id of one dispatch of a request to a replica; echoed in the response.
pub const DISPATCH: &str = "bilberrylatch-dispatch";
/// Idempotency key of the request as forwarded by the system; echoed in the response.
pub const KEY: &str = "bilberrylatch-key";
/// Lease that a key of the key-value service is bound to.
pub const LEASE: &str = "bilberrylatch-lease";
/// What is known about whether a failed request ran; `not-run` accompanies a rejection.
pub const OUTCOME: &str = "bilberrylatch-outcome";
/// Id of a request, the same at every node and replica.
pub const REQUEST_ID: &str = "bilberrylatch-request-id";
/// Revision of the key-value service after the call.
pub const REVISION: &str = "bilberrylatch-revision";
/// Version that served the request.
pub const VERSION: &str = "bilberrylatch-version";
/// Id of a write. It is stored with the record, so that a client whose response was lost can read the record to find
/// out whether the write took effect.
pub const WRITE_ID: &str = "bilberrylatch-write-id";
