//! Command-line flags of the daemon. Their meaning and environment variables are defined in
//! [`crate::settings`].

#![expect(missing_docs, reason = "the macro generates items without them")]

use std::ffi::OsString;

xflags::xflags! {
    /// A node of bilberrylatch. Every flag has an environment variable BILBERRYLATCH_NAME; secrets have only variables.
    cmd bilberrylatchd {
        /// Address for callers and operators, IP:PORT.
        optional --listen address: String
        /// Address for other nodes, IP:PORT.
        optional --peer-listen address: String
        /// Name of this node; it stays the same when the process restarts on the same VM.
        optional --name name: String
        /// Availability zone of this VM.
        optional --zone zone: String
        /// Region of this VM.
        optional --region region: String
        /// URL of the platform's key-value service.
        optional --store url: String
        /// URL of the cloud's API.
        optional --cloud url: String
        /// Addresses of peers to contact at the start, separated by commas.
        optional --peers addresses: String
        /// Maximum duration of a graceful stop, in seconds.
        optional --drain-seconds seconds: String
        /// Log format: human or json.
        optional --log-format format: String
        /// Minimum log level: error, warn, info, debug or trace.
        optional --log-level level: String
        /// Check the settings, report any findings, and exit.
        optional --check
    }
}

impl Bilberrylatchd {
    /// Parses the arguments of the process. An error describes the invalid argument.
    pub fn from_args(arguments: Vec<OsString>) -> Result<Self, xflags::Error> {
        Self::from_vec(arguments)
    }
}
