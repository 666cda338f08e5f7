//! Aliases for identifiers and units shared by all packages.

/// Name of a host of the platform, unique in the fleet.
pub type HostId = String;
/// Name of a pool, unique in the fleet.
pub type PoolId = String;
/// Name of a service, unique in the fleet.
pub type ServiceId = String;
/// Name of one instance of a service: `service/number`.
pub type InstanceId = String;
/// Name of a fleet file; the unit in which configuration is applied.
pub type FileId = String;
/// One life of an entry process: a replaced or restarted one has another.
pub type Incarnation = String;
/// Name of a data centre.
pub type DataCentre = String;
/// Name of a rack, unique in the fleet.
pub type Rack = String;
/// Name of a team that submits jobs.
pub type TeamId = String;
/// Name of a workspace: a team whose calls carry its keys.
pub type WorkspaceId = String;
/// Name of a job.
pub type JobId = String;
/// The caller's key of a request that may not be repeated.
pub type IdempotencyKey = String;
/// Position of an envelope in the platform's log; the first is 0.
pub type Offset = u64;
/// Number of a lease holder's turn; higher is later.
pub type Term = u64;
/// Milliseconds since the Unix epoch, as told by the clock of one process.
pub type UnixMs = u64;
