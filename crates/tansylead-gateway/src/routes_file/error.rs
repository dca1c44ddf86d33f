//! Why a routes file cannot be used.

use crate::checked_file::FileError;
use tansylead_types::ServiceName;

/// A routes file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum RoutesFileError {
    /// The file cannot be read, or is not a routes file.
    #[error(transparent)]
    File(#[from] FileError),
    /// A route lists neither services nor shards, or both.
    #[error("{path}: route {route} must state either `services` or `shards`")]
    NoTarget {
        /// File.
        path: String,
        /// Route.
        route: String,
    },
    /// A route names a service that is not listed.
    #[error("{path}: route {route} names service {service}, which is not listed")]
    UnknownService {
        /// File.
        path: String,
        /// Route.
        route: String,
        /// Service.
        service: ServiceName,
    },
    /// The bound on requests to cold leafs is not above zero.
    #[error(
        "{path}: cold_requests_per_second of service {service} must be above zero, but is {value}"
    )]
    ColdBound {
        /// File.
        path: String,
        /// Service.
        service: ServiceName,
        /// Its value.
        value: f64,
    },
    /// Two routes match the same requests.
    #[error("{path}: routes {first} and {second} have the same host and prefix")]
    SameRequests {
        /// File.
        path: String,
        /// One route.
        first: String,
        /// The other route.
        second: String,
    },
    /// An order to roll out names a service that is not listed.
    #[error("{path}: a roll-out names service {service}, which is not listed")]
    UnlistedRollOut {
        /// File.
        path: String,
        /// Service.
        service: ServiceName,
    },
    /// The time for a roll-out is not above zero, or too long to be represented.
    #[error(
        "{path}: duration_seconds of the roll-out of service {service} must be above zero, but is {value}"
    )]
    RollOutDuration {
        /// File.
        path: String,
        /// Service.
        service: ServiceName,
        /// Its value.
        value: f64,
    },
    /// Two orders to roll out are for one service.
    #[error("{path}: service {service} has more than one roll-out")]
    TwoRollOuts {
        /// File.
        path: String,
        /// Service.
        service: ServiceName,
    },
}
