//! `workswood status --jobs`: the lease holder and the state of queues, workspaces,
//! pools and maintenance waves.
//!
//! The status is read from the store and the host service and not from a process,
//! so it is also available while no process holds the lease. Nothing is written.
//! [`aggregate_status`] computes the status from the records that were read.

mod aggregate;
mod text;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures::future::try_join_all;
use snafu::ResultExt;
use workswood_adapter::{Addresses, PlatformClient};
use workswood_core::jobs::Host;
use workswood_platform::jobs::{JobPlatform, KeyedRecord, Partition, StoreError, Topic};

pub use aggregate::{HolderStatus, JobsStatus, PoolStatus, QueueStatus, WaveStatus, aggregate_status};
pub use text::text;

use crate::ops::jobs::inbox;
use crate::util::errors::{Result, StoreSnafu};
use crate::util::job_settings::JobSettings;

/// How long to wait for a renewal of the lease. The holder renews it every 0.45 s and
/// loses it after 1.8 s without a renewal.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(1800);

/// Records and host list from which the status is computed.
#[derive(Debug)]
pub struct StatusInputs {
    /// Wall-clock time of the read, in milliseconds since 1970.
    pub read_at: u64,
    /// Newest record of the lease topic.
    pub lease: Option<KeyedRecord>,
    /// Whether the lease was renewed during the read.
    pub renewed: bool,
    /// Records that operators wrote: configuration, waves and evacuations.
    pub operators: Vec<KeyedRecord>,
    /// Submitted jobs and cancellations of all inbox partitions.
    pub inbox: Vec<KeyedRecord>,
    /// State records of the scheduler.
    pub state: Vec<KeyedRecord>,
    /// Worker registrations.
    pub workers: Vec<KeyedRecord>,
    /// Status records published to operators.
    pub published: Vec<KeyedRecord>,
    /// The host list, or why it could not be read.
    pub hosts: std::result::Result<Vec<Host>, String>,
}

/// Reads the status from the store and host service named in the settings file at `path`.
///
/// Returns an error if the settings or the store can't be read.
pub async fn run(path: &str) -> Result<JobsStatus> {
    let settings = JobSettings::read(path)?;
    let addresses =
        Addresses { store: settings.store.clone(), machines: settings.hosts.clone(), adviser: None };
    let platform = PlatformClient::new(addresses);
    let partitions: Vec<Partition> = inbox::partitions(settings.store_partitions).collect();
    let inputs =
        read_inputs(&platform, &partitions).await.context(StoreSnafu { address: &settings.store })?;
    Ok(aggregate_status(&platform, &inputs))
}

async fn read_inputs(
    platform: &PlatformClient,
    partitions: &[Partition],
) -> std::result::Result<StatusInputs, StoreError> {
    let lease = platform.latest(Topic::Lease).await?;
    let renewed = async { platform.tail(Topic::Lease, lease.next, RENEWAL_TIMEOUT).await };
    let inbox = try_join_all(partitions.iter().map(|p| platform.latest(Topic::Inbox(*p))));
    let (renewed, inbox, state, operators, workers, published) = tokio::try_join!(
        renewed,
        inbox,
        platform.latest(Topic::State),
        platform.latest(Topic::Operators),
        platform.latest(Topic::Workers),
        platform.latest(Topic::Status),
    )?;
    // The status is reported without hosts if only the host service is unavailable.
    let hosts = platform.list_hosts().await.map_err(host_list_error);
    Ok(StatusInputs {
        read_at: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64,
        lease: lease.records.into_iter().next_back(),
        renewed: !renewed.records.is_empty(),
        operators: operators.records,
        inbox: inbox.into_iter().flat_map(|page| page.records).collect(),
        state: state.records,
        workers: workers.records,
        published: published.records,
        hosts,
    })
}

/// Describes why the host list could not be read.
fn host_list_error(e: StoreError) -> String {
    match e {
        StoreError::NotDone { text } | StoreError::Rejected { text } => format!("refused: {text}"),
        StoreError::Unknown { text } => format!("no answer: {text}"),
        StoreError::GuardFailed | StoreError::RecordsGone => e.to_string(),
    }
}
