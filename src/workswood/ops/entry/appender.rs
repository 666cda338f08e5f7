//! Writing to the log: group commit with a share of the log's appends.
//!
//! One envelope is on its way at a time; what arrives meanwhile goes into the
//! next. An append without an answer is sent again with the same number, which
//! the fold takes once. After [`GIVE_UP`] it is abandoned: whoever asked is
//! told so at once, and it is void for good once a later envelope is folded.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use workswood_core::fold::{Verdict, Void};
use workswood_core::ids::Offset;
use workswood_core::record::{End, Envelope, FORMAT, Record};
use workswood_peers::{LogHead, Msg};
use workswood_platform::Error;

use super::node::Node;

/// Most records of one envelope.
const MOST_RECORDS: usize = 512;
/// Most bytes of records of one envelope, about.
const MOST_BYTES: usize = 1024 * 1024;
/// How long one envelope is tried.
const GIVE_UP: Duration = Duration::from_secs(3);
/// Pause between tries.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long an accepted append may take to be read back.
const READ_BACK: Duration = Duration::from_secs(2);
/// Appends that may be made at once after a pause.
const BURST: f64 = 4.0;

/// Where a record was folded, and what became of each.
#[derive(Clone, Debug)]
pub struct Folded {
    /// Offset of the envelope.
    pub offset: Offset,
    /// One verdict a record.
    pub verdicts: Vec<Verdict>,
}

/// Why records were not folded in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missed {
    /// They were not sent and never will be.
    NotSent,
    /// They may still be folded.
    Unknown,
}

type Answer = Result<Folded, Missed>;

/// Records to append, and who waits for them.
pub struct Job {
    records: Vec<Record>,
    reply: oneshot::Sender<Answer>,
}

/// An envelope on its way.
pub struct Pending {
    jobs: Vec<(usize, Option<oneshot::Sender<Answer>>)>,
}

impl Node {
    /// Appends records and waits until they are folded here.
    pub async fn append(&self, records: Vec<Record>) -> Answer {
        let (reply, rx) = oneshot::channel();
        let job = Job { records, reply };
        self.appends.try_send(job).map_err(|_| Missed::NotSent)?;
        rx.await.unwrap_or(Err(Missed::Unknown))
    }

    /// Hands the verdicts of an own envelope to those who wait for them.
    pub fn own_folded(self: &Arc<Self>, offset: Offset, env: &Envelope, verdicts: &[Verdict]) {
        if verdicts.contains(&Err(Void::Repeated)) {
            return;
        }
        let mut pending = self.pending.lock();
        let later = pending.split_off(&(env.seq + 1));
        let mut done = std::mem::replace(&mut *pending, later);
        drop(pending);
        let Some(p) = done.remove(&env.seq) else { return };
        let mut at = 0;
        for (count, reply) in p.jobs {
            let range = at..at + count;
            at += count;
            let folded = Folded { offset, verdicts: verdicts[range.clone()].to_vec() };
            let heard = reply.is_some_and(|r| r.send(Ok(folded)).is_ok());
            if !heard {
                self.release(&env.records[range.clone()], &verdicts[range]);
            }
        }
    }

    /// Gives claims and starts back that were accepted after nobody waited for
    /// them: nothing was sent for them.
    fn release(self: &Arc<Self>, records: &[Record], verdicts: &[Verdict]) {
        for (r, v) in records.iter().zip(verdicts) {
            let (Record::Claim { key, holder: Some(holder), .. } | Record::Start { key, holder, .. }) = r
            else {
                continue;
            };
            if v.is_err() || *holder != self.id {
                continue;
            }
            log::info!("event=claim_released key={key} reason=abandoned");
            let record = Record::Finish { key: key.clone(), holder: holder.clone(), end: End::NotSent };
            let node = self.clone();
            tokio::spawn(async move { node.append(vec![record]).await });
        }
    }
}

/// A bucket that fills at this process's share of the log's appends.
struct Share {
    tokens: f64,
    filled: Instant,
}

impl Share {
    async fn take(&mut self, node: &Node) {
        let members = node.state.read().roster.len().max(1);
        let rate = f64::from(node.settings.appends_per_second) / members as f64;
        let now = Instant::now();
        self.tokens = (self.tokens + rate * (now - self.filled).as_secs_f64()).min(BURST);
        self.filled = now;
        self.tokens -= 1.0;
        if self.tokens < 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(-self.tokens / rate)).await;
        }
    }
}

/// Takes jobs and appends them until the process ends.
pub async fn run(node: Arc<Node>, mut rx: mpsc::Receiver<Job>) {
    let mut seq = 0;
    let mut share = Share { tokens: BURST, filled: Instant::now() };
    let mut held = None;
    loop {
        let Some(first) = (match held.take() {
            Some(job) => Some(job),
            None => rx.recv().await,
        }) else {
            return;
        };
        share.take(&node).await;
        let (records, jobs, over) = gather(first, &mut rx);
        held = over;
        if jobs.is_empty() {
            continue;
        }
        seq += 1;
        let env = Envelope { v: FORMAT, from: node.id.clone(), seq, at: node.wall(), records };
        node.pending.lock().insert(seq, Pending { jobs });
        deliver(&node, &env).await;
    }
}

type Gathered = (Vec<Record>, Vec<(usize, Option<oneshot::Sender<Answer>>)>, Option<Job>);

/// Puts waiting jobs together; one that does not fit waits for the next.
fn gather(first: Job, rx: &mut mpsc::Receiver<Job>) -> Gathered {
    let mut records = Vec::new();
    let mut jobs = Vec::new();
    let mut bytes = 0;
    let mut next = Some(first);
    while let Some(job) = next {
        let size: usize = job.records.iter().map(size_of).sum();
        let full = records.len() + job.records.len() > MOST_RECORDS || bytes + size > MOST_BYTES;
        if full && !records.is_empty() {
            return (records, jobs, Some(job));
        }
        bytes += size;
        // Whoever no longer waits wants nothing appended.
        if !job.reply.is_closed() {
            jobs.push((job.records.len(), Some(job.reply)));
            records.extend(job.records);
        }
        next = rx.try_recv().ok();
    }
    (records, jobs, None)
}

/// Size of a record in the log, about.
fn size_of(r: &Record) -> usize {
    match r {
        Record::Checkpoint { data, .. } => data.len() * 2,
        Record::Claim { deferred: Some(d), .. } => d.body.len() + 512,
        Record::Finish { end: End::Answered { body: Some(b), .. }, .. } => b.len() + 256,
        Record::Apply { file, .. } => (file.hosts.len() + file.services.len()) * 256 + 1024,
        _ => 256,
    }
}

/// Appends an envelope until it is folded or given up.
async fn deliver(node: &Arc<Node>, env: &Envelope) {
    let body = serde_json::to_string(env).unwrap_or_default();
    let until = Instant::now() + GIVE_UP;
    let mut sent = false;
    while Instant::now() < until {
        match node.platform.append(body.clone()).await {
            Ok(offset) => {
                node.metrics.appends.inc();
                node.metrics.records.inc_by(env.records.len() as u64);
                tell(node, offset);
                sent = true;
                if read_back(node, env.seq, READ_BACK).await {
                    return;
                }
                break;
            }
            Err(Error::Unreachable { .. } | Error::Refused { .. }) => {}
            // The answer is lost, not surely the append: look, then try again.
            Err(e) => {
                log::warn!("event=append_unanswered seq={} error={e:?}", env.seq);
                sent = true;
                node.grown.notify_one();
                if read_back(node, env.seq, RETRY_PAUSE).await {
                    return;
                }
            }
        }
        node.metrics.append_retries.inc();
        tokio::time::sleep(RETRY_PAUSE).await;
        if !node.pending.lock().contains_key(&env.seq) {
            return;
        }
    }
    abandon(node, env.seq, if sent { Missed::Unknown } else { Missed::NotSent });
}

fn tell(node: &Node, offset: Offset) {
    node.grown.notify_one();
    for link in node.links.lock().values() {
        link.send(Msg::LogHead(LogHead { offset }));
    }
}

/// Waits until the envelope is folded; true if it was.
async fn read_back(node: &Node, seq: u64, limit: Duration) -> bool {
    let mut folded = node.folded.subscribe();
    let wait = async {
        while node.pending.lock().contains_key(&seq) {
            if folded.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::time::timeout(limit, wait).await.is_ok()
}

fn abandon(node: &Node, seq: u64, missed: Missed) {
    log::warn!("event=append_abandoned seq={seq} missed={missed:?} code=126");
    let mut pending = node.pending.lock();
    let Some(p) = pending.get_mut(&seq) else { return };
    for (_, reply) in &mut p.jobs {
        if let Some(r) = reply.take() {
            let _ = r.send(Err(missed));
        }
    }
}
