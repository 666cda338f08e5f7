//! `status` of `workswood jobs`: who holds the lease, and how jobs, pools and waves
//! stand.
//!
//! It is read from the store and the host service, not from a process: it tells
//! as much while no process holds the lease. Nothing is written. [`aggregate_status`] makes the
//! status of what was read.

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

/// How long a renewal of the lease is waited for: the holder renews every 0.45 s and
/// is replaced after 1.8 s without.
const RENEWAL_WAIT: Duration = Duration::from_millis(1800);

/// All that the status is made of.
#[derive(Debug)]
pub struct StatusInputs {
    /// The time of day, in milliseconds since 1970.
    pub read_at: u64,
    /// The newest record of the lease.
    pub lease: Option<KeyedRecord>,
    /// Whether the holder renewed while we watched.
    pub renewed: bool,
    /// What operators wrote.
    pub operators: Vec<KeyedRecord>,
    /// Jobs and cancels of all parts of the inbox.
    pub inbox: Vec<KeyedRecord>,
    /// State of the scheduler.
    pub state: Vec<KeyedRecord>,
    /// What workers say of themselves.
    pub workers: Vec<KeyedRecord>,
    /// What operators are told.
    pub published: Vec<KeyedRecord>,
    /// Hosts, or why they are not known.
    pub hosts: std::result::Result<Vec<Host>, String>,
}

/// Reads the status with the settings of any entry.
pub async fn run(path: &str) -> Result<JobsStatus> {
    let settings = JobSettings::read(path)?;
    let addresses =
        Addresses { store: settings.store.clone(), machines: settings.hosts.clone(), adviser: None };
    let platform = PlatformClient::new(addresses);
    let parts: Vec<Partition> = inbox::parts(settings.store_parts).collect();
    let seen = read(&platform, &parts).await.context(StoreSnafu { address: &settings.store })?;
    Ok(aggregate_status(&platform, &seen))
}

async fn read(
    platform: &PlatformClient,
    parts: &[Partition],
) -> std::result::Result<StatusInputs, StoreError> {
    let lease = platform.latest(Topic::Lease).await?;
    let renewed = async { platform.tail(Topic::Lease, lease.next, RENEWAL_WAIT).await };
    let inbox = try_join_all(parts.iter().map(|p| platform.latest(Topic::Inbox(*p))));
    let (renewed, inbox, state, operators, workers, published) = tokio::try_join!(
        renewed,
        inbox,
        platform.latest(Topic::State),
        platform.latest(Topic::Operators),
        platform.latest(Topic::Workers),
        platform.latest(Topic::Status),
    )?;
    // The store may do without the host service; the rest is told all the same.
    let hosts = platform.list_hosts().await.map_err(why_unknown);
    Ok(StatusInputs {
        read_at: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64,
        lease: lease.records.into_iter().next_back(),
        renewed: !renewed.records.is_empty(),
        operators: operators.records,
        inbox: inbox.into_iter().flat_map(|n| n.records).collect(),
        state: state.records,
        workers: workers.records,
        published: published.records,
        hosts,
    })
}

/// Why the host service told nothing.
fn why_unknown(e: StoreError) -> String {
    match e {
        StoreError::NotDone { text } => format!("refused: {text}"),
        StoreError::Unknown { text } => format!("no answer: {text}"),
        StoreError::GuardFailed | StoreError::RecordsGone => e.to_string(),
    }
}
