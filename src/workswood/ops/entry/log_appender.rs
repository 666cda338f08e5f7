//! Appends records to the log: group commit, limited to this process's share of the append rate.
//!
//! One envelope is in flight at a time; records that arrive meanwhile go into the next one. An append
//! without an answer is retried with the same sequence number, and folding accepts each number once.
//! After [`APPEND_TIMEOUT`] the envelope is abandoned: its callers get an error, and once a later
//! envelope of this process is folded the abandoned one is void.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use workswood_core::fold::{RecordResult, Rejection};
use workswood_core::ids::Offset;
use workswood_core::record::{AttemptOutcome, Envelope, FORMAT_VERSION, Record};
use workswood_peers::{LogGrown, Msg};
use workswood_platform::Error;

use super::node::Node;

/// Maximum number of records in one envelope.
const MAX_ENVELOPE_RECORDS: usize = 512;
/// Approximate maximum size of the records in one envelope, in bytes.
const MAX_ENVELOPE_BYTES: usize = 1024 * 1024;
/// Time after which no further attempt to append an envelope begins.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between attempts to append an envelope.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest wait for an accepted envelope to be read back from the log and folded.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of the [`RateLimiter`], in appends.
const BURST_APPENDS: f64 = 4.0;

/// Result of folding appended records.
#[derive(Clone, Debug)]
pub struct AppendOutcome {
    /// Offset of the envelope in the log.
    pub offset: Offset,
    /// Verdicts on the records, in their order.
    pub verdicts: Vec<RecordResult>,
}

/// Why an append did not return verdicts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// The records were not sent and never will be.
    NotSent,
    /// The records may be in the log and may still be folded.
    Unknown,
}

type AppendResult = Result<AppendOutcome, AppendError>;

/// Number of records of one request, and the sender for its result; `None` once the result was sent.
type Waiter = (usize, Option<oneshot::Sender<AppendResult>>);

/// Records to append, with the sender for the result.
pub struct AppendRequest {
    records: Vec<Record>,
    reply: oneshot::Sender<AppendResult>,
}

/// An envelope that was not folded yet.
pub struct PendingEnvelope {
    waiters: Vec<Waiter>,
}

impl Node {
    /// Appends records to the log and waits until this process has folded them.
    pub async fn append(&self, records: Vec<Record>) -> AppendResult {
        let (reply, rx) = oneshot::channel();
        let request = AppendRequest { records, reply };
        self.append_queue.try_send(request).map_err(|_| AppendError::NotSent)?;
        rx.await.unwrap_or(Err(AppendError::Unknown))
    }

    /// Sends the verdicts on an envelope of this process to the callers of [`Node::append`].
    pub fn complete_append(self: &Arc<Self>, offset: Offset, envelope: &Envelope, verdicts: &[RecordResult]) {
        if verdicts.contains(&Err(Rejection::Repeated)) {
            return;
        }
        let mut pending = self.pending_envelopes.lock();
        // Earlier envelopes are void. Dropping them ends their waiters with `AppendError::Unknown`.
        let later = pending.split_off(&(envelope.seq + 1));
        let mut settled = std::mem::replace(&mut *pending, later);
        drop(pending);
        let Some(pending_envelope) = settled.remove(&envelope.seq) else { return };
        let mut first = 0;
        for (count, reply) in pending_envelope.waiters {
            let range = first..first + count;
            first += count;
            let outcome = AppendOutcome { offset, verdicts: verdicts[range.clone()].to_vec() };
            let delivered = reply.is_some_and(|tx| tx.send(Ok(outcome)).is_ok());
            if !delivered {
                self.release_abandoned(&envelope.records[range.clone()], &verdicts[range]);
            }
        }
    }

    /// Releases claims and starts that were accepted after their caller had stopped waiting: no
    /// request was sent to an endpoint for them.
    fn release_abandoned(self: &Arc<Self>, records: &[Record], verdicts: &[RecordResult]) {
        for (record, verdict) in records.iter().zip(verdicts) {
            let (Record::Claim { key, holder: Some(holder), .. } | Record::Start { key, holder, .. }) =
                record
            else {
                continue;
            };
            if verdict.is_err() || *holder != self.id {
                continue;
            }
            log::info!("event=claim_released key={key} reason=abandoned");
            let record =
                Record::Finish { key: key.clone(), holder: holder.clone(), outcome: AttemptOutcome::NotSent };
            let node = self.clone();
            tokio::spawn(async move { node.append(vec![record]).await });
        }
    }
}

/// Token bucket that refills at this process's share of the log's append rate.
struct RateLimiter {
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Takes a token, waiting until there is one.
    async fn acquire(&mut self, node: &Node) {
        let members = node.state.read().roster.len().max(1);
        let rate = f64::from(node.settings.appends_per_second) / members as f64;
        let now = Instant::now();
        self.tokens = (self.tokens + rate * (now - self.refilled_at).as_secs_f64()).min(BURST_APPENDS);
        self.refilled_at = now;
        self.tokens -= 1.0;
        if self.tokens < 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(-self.tokens / rate)).await;
        }
    }
}

/// Appends queued records until the process ends.
pub async fn run(node: Arc<Node>, mut rx: mpsc::Receiver<AppendRequest>) {
    let mut seq = 0;
    let mut limiter = RateLimiter { tokens: BURST_APPENDS, refilled_at: Instant::now() };
    let mut carried_over = None;
    loop {
        let Some(first) = (match carried_over.take() {
            Some(request) => Some(request),
            None => rx.recv().await,
        }) else {
            return;
        };
        limiter.acquire(&node).await;
        let (records, waiters, excess) = collect_batch(first, &mut rx);
        carried_over = excess;
        if waiters.is_empty() {
            continue;
        }
        seq += 1;
        let envelope = Envelope {
            format_version: FORMAT_VERSION,
            sender: node.id.clone(),
            seq,
            written_at: node.wall(),
            records,
        };
        node.pending_envelopes.lock().insert(seq, PendingEnvelope { waiters });
        append_envelope(&node, &envelope).await;
    }
}

/// Records of an envelope, those who wait for them, and a request that did not fit.
type Batch = (Vec<Record>, Vec<Waiter>, Option<AppendRequest>);

/// Collects queued requests into one envelope. A request that does not fit is returned, to begin the
/// next envelope.
fn collect_batch(first: AppendRequest, rx: &mut mpsc::Receiver<AppendRequest>) -> Batch {
    let mut records = Vec::new();
    let mut waiters = Vec::new();
    let mut bytes = 0;
    let mut next = Some(first);
    while let Some(request) = next {
        let size: usize = request.records.iter().map(approximate_size).sum();
        let full =
            records.len() + request.records.len() > MAX_ENVELOPE_RECORDS || bytes + size > MAX_ENVELOPE_BYTES;
        if full && !records.is_empty() {
            return (records, waiters, Some(request));
        }
        bytes += size;
        // Records whose caller has stopped waiting are not appended.
        if !request.reply.is_closed() {
            waiters.push((request.records.len(), Some(request.reply)));
            records.extend(request.records);
        }
        next = rx.try_recv().ok();
    }
    (records, waiters, None)
}

/// Approximate size of a record in the log, in bytes.
fn approximate_size(record: &Record) -> usize {
    match record {
        Record::Checkpoint { data, .. } => data.len() * 2,
        Record::Claim { deferred: Some(deferred), .. } => deferred.body.len() + 512,
        Record::Finish { outcome: AttemptOutcome::Answered { body: Some(body), .. }, .. } => body.len() + 256,
        Record::Apply { file, .. } => (file.hosts.len() + file.services.len()) * 256 + 1024,
        _ => 256,
    }
}

/// Retries the append of an envelope until the platform accepts it or [`APPEND_TIMEOUT`] has passed. Then
/// waits until the accepted envelope is folded, for at most [`READ_BACK_TIMEOUT`].
async fn append_envelope(node: &Arc<Node>, envelope: &Envelope) {
    let body = serde_json::to_string(envelope).unwrap_or_default();
    let deadline = Instant::now() + APPEND_TIMEOUT;
    let mut sent = false;
    while Instant::now() < deadline {
        match node.platform.append(body.clone()).await {
            Ok(offset) => {
                node.metrics.appends.inc();
                node.metrics.appended_records.inc_by(envelope.records.len() as u64);
                announce_growth(node, offset);
                sent = true;
                if wait_until_folded(node, envelope.seq, READ_BACK_TIMEOUT).await {
                    return;
                }
                break;
            }
            Err(Error::Unreachable { .. } | Error::Refused { .. }) => {}
            // The append may have succeeded although its answer was lost: read the log before a retry.
            Err(e) => {
                log::warn!("event=append_unanswered seq={} error={e:?}", envelope.seq);
                sent = true;
                node.log_grown.notify_one();
                if wait_until_folded(node, envelope.seq, RETRY_DELAY).await {
                    return;
                }
            }
        }
        node.metrics.append_retries.inc();
        tokio::time::sleep(RETRY_DELAY).await;
        if !node.pending_envelopes.lock().contains_key(&envelope.seq) {
            return;
        }
    }
    abandon(node, envelope.seq, if sent { AppendError::Unknown } else { AppendError::NotSent });
}

/// Tells the log reader and all linked peers that the log has grown.
fn announce_growth(node: &Node, offset: Offset) {
    node.log_grown.notify_one();
    for link in node.links.lock().values() {
        link.send(Msg::LogGrown(LogGrown { offset }));
    }
}

/// Waits until an envelope of this process is folded; returns whether that was before the timeout.
async fn wait_until_folded(node: &Node, seq: u64, timeout: Duration) -> bool {
    let mut next_offset = node.next_offset.subscribe();
    let wait = async {
        while node.pending_envelopes.lock().contains_key(&seq) {
            if next_offset.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::time::timeout(timeout, wait).await.is_ok()
}

/// Returns an error to everybody who waits for an envelope.
fn abandon(node: &Node, seq: u64, error: AppendError) {
    log::warn!("event=append_abandoned seq={seq} missed={error:?} code=126");
    let mut pending = node.pending_envelopes.lock();
    let Some(pending_envelope) = pending.get_mut(&seq) else { return };
    for (_, reply) in &mut pending_envelope.waiters {
        if let Some(tx) = reply.take() {
            let _ = tx.send(Err(error));
        }
    }
}
