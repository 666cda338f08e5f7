//! Type aliases of identifiers and units that all crates share.

/// Name of a host, unique in the fleet.
pub type HostId = String;
/// Name of a pool, unique in the fleet.
pub type PoolId = String;
/// Name of a service, unique in the fleet.
pub type ServiceId = String;
/// Name of an instance of a service: `service/number`.
pub type InstanceId = String;
/// Name of a fleet file. A file is applied as a whole.
pub type FileId = String;
/// Identifier of one run of an entry process; a restart gets a new one.
pub type Incarnation = String;
/// Name of a data centre.
pub type DataCentre = String;
/// Name of a rack, unique in the fleet.
pub type Rack = String;
/// Name of a team that submits jobs.
pub type TeamId = String;
/// Name of a workspace: a team that authenticates its calls with its API keys.
pub type WorkspaceId = String;
/// Name of a job that is declared in a fleet file.
pub type JobId = String;
/// Key by which a caller identifies a request that may not be repeated.
pub type IdempotencyKey = String;
/// Position of an envelope in the platform's log, from 0.
pub type Offset = u64;
/// Number of a term of a lease; it grows with each new holder.
pub type Term = u64;
/// Fencing token of a worker: rises with the term of the scheduler's lease, and within a term with
/// each relay of the worker.
pub type Token = u64;
/// Milliseconds since the Unix epoch, by the clock of one process.
pub type UnixMs = u64;
