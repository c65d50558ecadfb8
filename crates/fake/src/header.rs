//! Names of the headers that stand-ins read and write.

/// Identity of one dispatch of a request to a replica; echoed in the response.
pub const DISPATCH: &str = "bilberrylatch-dispatch";
/// Idempotency key of the request as the system passes it on; echoed in the response.
pub const KEY: &str = "bilberrylatch-key";
/// Lease that a key of the key-value service is bound to.
pub const LEASE: &str = "bilberrylatch-lease";
/// What may be concluded of a request that was not answered; `not-run` beside a refusal.
pub const OUTCOME: &str = "bilberrylatch-outcome";
/// Identity of a request, the same at every node and replica.
pub const REQUEST_ID: &str = "bilberrylatch-request-id";
/// Revision of the key-value service after the call.
pub const REVISION: &str = "bilberrylatch-revision";
/// Version that served the request.
pub const VERSION: &str = "bilberrylatch-version";
/// Identity of one write, stored with the record so that a lost answer can be settled by reading back.
pub const WRITE_ID: &str = "bilberrylatch-write-id";
