//! Crowds of clients that keep connections open without ending what they send. The process stays within the memory and the
//! descriptors of its host, and ordinary callers are answered.
//!
//! A target of its own, so that nothing runs beside it; its tests run one at a time:
//! `cargo test --test client_crowds -- --nocapture` prints what the process used.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use workswood::ops::jobs::peers;
use workswood_adapter_standin::caller::{
    JobReply, Submission, config, padded_job, request_state, submission_head, submit_job,
};
use workswood_adapter_standin::{Ledger, StoreStandin, WorkerStandin};
use workswood_core::code::Code;
use workswood_peers::{Frame, Hello, Msg};
use workswood_test_support::crowd::{Crowd, Sent};
use workswood_test_support::job_node::deployed_policy;
use workswood_test_support::process_usage::{MIB, Usage, UsageWatch};
use workswood_test_support::program::{Program, free_ports};

const SERVICE: &str = "desk";
/// Size of the largest body that a caller may send, in bytes.
const LEGAL_BODY: usize = 262_144;
/// Size of a large chunk, in bytes.
const LARGE_CHUNK: usize = 4096;
/// Size of the head of an unfinished request, in bytes: less than the most that is read.
const LONG_HEAD: usize = 31_000;
/// Announced and sent sizes of an unfinished frame of a peer, in bytes.
const ANNOUNCED_FRAME: u32 = 16 * 1024 * 1024;
const SENT_FRAME: usize = 256 * 1024;
/// Memory and descriptors of the host. A process in calm has about 30 MB as tests build it. A crowd of bodies sends more than
/// twice the memory, and a crowd of connections has twice as many as there are descriptors.
const BODIES: HostLimits = HostLimits { memory_mb: 96, max_fds: 1000 };
const CONNECTIONS: HostLimits = HostLimits { memory_mb: 96, max_fds: 400 };
/// Clients of a crowd that sends bodies, and of one that only opens connections.
const SENDERS: usize = 800;
const CONNECTED: usize = 800;
/// How long an ordinary caller tries before the process counts as hung.
const PATIENCE: Duration = Duration::from_secs(20);
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a task takes.
const TAKES: Duration = Duration::from_millis(10);

/// One crowd at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// What the process may use.
#[derive(Clone, Copy, Debug)]
struct HostLimits {
    memory_mb: u64,
    max_fds: usize,
}

/// The listeners of the process.
struct Listeners {
    callers: SocketAddr,
    readiness: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
    seeds: SocketAddr,
}

/// A process with a store and a worker.
struct Site {
    limits: HostLimits,
    program: Program,
    listeners: Listeners,
    usage: UsageWatch,
    ledger: Arc<Ledger>,
    ordinary: AtomicU64,
    folder: PathBuf,
    calm: Usage,
    _store: StoreStandin,
    _worker: WorkerStandin,
    _turn: MutexGuard<'static, ()>,
}

impl Drop for Site {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Site {
    /// Starts the process and waits until it has answered an ordinary caller.
    async fn start(name: &str, limits: HostLimits) -> Site {
        let turn = TURN.lock().await;
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("workswood-crowd-{name}-{id}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        let store = StoreStandin::start().await;
        store.declare(&config(SERVICE, 1));
        let ledger: Arc<Ledger> = Arc::default();
        let worker = WorkerStandin::start_with_ledger("i-1", TAKES, ledger.clone()).await;
        store.enter_worker("i-1", &worker.entry(SERVICE, "m-1"));
        let ports = free_ports(&format!("127.120.{}.{}", id >> 8 & 255, id & 255), 5);
        let [callers, readiness, peers, metrics, seeds] = ports[..] else { panic!("five ports") };
        let listeners = Listeners { callers, readiness, peers, metrics, seeds };
        let program = start_program(&folder, &listeners, store.address, limits);
        let usage = UsageWatch::start(program.id(), &ports);
        let mut site = Site {
            limits,
            program,
            listeners,
            usage,
            ledger,
            ordinary: AtomicU64::new(1 << 63),
            folder,
            calm: Usage::default(),
            _store: store,
            _worker: worker,
            _turn: turn,
        };
        site.check_ordinary_caller("before the crowd").await;
        site.calm = site.usage.now();
        site
    }

    /// An ordinary caller submits a job and asks for its state, again until both are answered.
    async fn check_ordinary_caller(&self, when: &str) {
        let job = format!("{:016x}", self.ordinary.fetch_add(1, Ordering::Relaxed));
        let to = self.listeners.callers;
        let until = Instant::now() + PATIENCE;
        let wait = async || {
            assert!(Instant::now() < until, "{when}: an ordinary caller has no answer: {}", self.figures());
            tokio::time::sleep(RETRY_DELAY).await;
        };
        while submit_job(to, &job, 1).await != Submission::Accepted {
            wait().await;
        }
        while !matches!(request_state(to, &job).await, JobReply::State(_)) {
            wait().await;
        }
        while status(self.listeners.readiness).await != Some(200) {
            wait().await;
        }
    }

    /// What the process has used so far.
    fn figures(&self) -> String {
        let (peak, limits) = (self.usage.peak(), self.limits);
        format!(
            "memory_mb={} of {} resident_mb={} unread_mb={} descriptors={} of {} calm_mb={} calm_descriptors={}",
            peak.memory_mb,
            limits.memory_mb,
            peak.each.resident / MIB,
            peak.each.unread / MIB,
            peak.each.descriptors,
            limits.max_fds,
            self.calm.memory_mb(),
            self.calm.descriptors
        )
    }

    /// Waits until the crowd has sent all and the process has read all that it will read.
    async fn wait_until_settled(&self, crowd: &Crowd) {
        crowd.settled().await;
        self.usage.at_rest().await;
        println!(
            "event=crowd_settled open={} returns={} sent_mb={} {}",
            crowd.open(),
            crowd.returns(),
            crowd.bytes() / MIB,
            self.figures()
        );
    }

    /// Checks what must hold while the crowd is there, and after it has gone.
    async fn check(&mut self, crowd: Crowd) {
        self.wait_until_settled(&crowd).await;
        self.check_ordinary_caller("beside the crowd").await;
        self.usage.now();
        drop(crowd);
        self.check_ordinary_caller("after the crowd").await;
        self.check_limits();
    }

    /// Checks that the process lives and has stayed within its limits.
    fn check_limits(&mut self) {
        assert!(self.program.is_running(), "the process has ended: {}", self.figures());
        println!("event=crowd_gone {}", self.figures());
        let peak = self.usage.peak();
        assert!(peak.memory_mb <= self.limits.memory_mb, "too much memory: {}", self.figures());
        assert!(peak.each.descriptors <= self.limits.max_fds, "too many descriptors: {}", self.figures());
    }
}

fn start_program(
    folder: &std::path::Path,
    own: &Listeners,
    store: SocketAddr,
    limits: HostLimits,
) -> Program {
    let settings = serde_json::json!({
        "name": "entry-1", "data_centre": "north", "callers": own.callers, "readiness": own.readiness,
        "peers": own.peers, "metrics": own.metrics, "seed_listener": own.seeds, "seeds": own.seeds.to_string(),
        "store": store, "machines": store, "longest_lease_ms": 10000, "machine_handover_ms": 3000,
        "keep_ended_s": 120, "stop_within_s": 6, "policy": deployed_policy(), "memory_mb": limits.memory_mb,
        "max_fds": limits.max_fds,
    });
    let path = folder.join("entry.json");
    std::fs::write(&path, settings.to_string()).expect("a settings file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_workswood"));
    command.arg("jobs").env("WORKSWOOD_SETTINGS", &path);
    Program::start_logged(command, &path.with_extension("log"))
}

/// Sends a request on a connection of its own, each piece after a pause, and returns the answer.
async fn exchange(
    to: SocketAddr,
    pieces: impl IntoIterator<Item = Vec<u8>>,
    pause: Duration,
) -> Option<String> {
    let mut s = TcpStream::connect(to).await.ok()?;
    for piece in pieces {
        s.write_all(&piece).await.ok()?;
        tokio::time::sleep(pause).await;
    }
    let mut answer = String::new();
    s.read_to_string(&mut answer).await.ok()?;
    Some(answer)
}

/// The status with which a listener answers.
async fn status(to: SocketAddr) -> Option<u16> {
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_vec();
    let answer = tokio::time::timeout(PATIENCE, exchange(to, [request], Duration::ZERO)).await.ok()??;
    status_of(&answer)
}

fn status_of(answer: &str) -> Option<u16> {
    answer.split(' ').nth(1)?.parse().ok()
}

fn job_number(client: usize) -> String {
    format!("{client:016x}")
}

fn head(client: usize, framing: &str) -> String {
    submission_head(&job_number(client), framing)
}

fn announced(client: usize, bytes: u64) -> String {
    head(client, &format!("content-length: {bytes}"))
}

fn chunked(client: usize) -> String {
    head(client, "transfer-encoding: chunked")
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// A crowd whose clients send what `sent` says.
async fn crowd(to: SocketAddr, clients: usize, sent: impl Fn(usize) -> Sent) -> Crowd {
    Crowd::start(to, (0..clients).map(sent)).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_whole_bodies() {
    let mut site = Site::start("whole", BODIES).await;
    let body = padded_job(LEGAL_BODY - 1);
    let sent = |n| Sent::head(announced(n, LEGAL_BODY as u64)).with_pieces(body.clone(), 1);
    let crowd = crowd(site.listeners.callers, SENDERS, sent).await;
    site.check(crowd).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_large_chunks() {
    let mut site = Site::start("large-chunks", BODIES).await;
    let piece = chunk(&[b' '; LARGE_CHUNK]);
    let sent = |n| Sent::head(chunked(n)).with_pieces(piece.clone(), LEGAL_BODY / LARGE_CHUNK);
    let crowd = crowd(site.listeners.callers, SENDERS, sent).await;
    site.check(crowd).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_tiny_chunks() {
    let mut site = Site::start("tiny-chunks", BODIES).await;
    let piece = chunk(b" ").repeat(1024);
    let sent = |n| Sent::head(chunked(n)).with_pieces(piece.clone(), 32);
    let crowd = crowd(site.listeners.callers, SENDERS, sent).await;
    site.check(crowd).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_that_goes_on_slowly() {
    let mut site = Site::start("slow", BODIES).await;
    let piece = chunk(&[b' '; LARGE_CHUNK]);
    let sent = |n| {
        let most = Sent::head(chunked(n)).with_pieces(piece.clone(), LEGAL_BODY / LARGE_CHUNK - 1);
        most.then_slowly(chunk(b" "))
    };
    let crowd = crowd(site.listeners.callers, SENDERS, sent).await;
    site.check(crowd).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_that_comes_back() {
    let mut site = Site::start("back", BODIES).await;
    let body = padded_job(LEGAL_BODY - 1);
    let sent = |n| Sent::head(announced(n, LEGAL_BODY as u64)).with_pieces(body.clone(), 1).coming_back();
    let crowd = crowd(site.listeners.callers, SENDERS, sent).await;
    site.check(crowd).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_that_announces_too_much() {
    let mut site = Site::start("announced", BODIES).await;
    let body = vec![b' '; LEGAL_BODY];
    let sent = |n| Sent::head(announced(n, 10_000_000_000)).with_pieces(body.clone(), 1);
    let crowd = crowd(site.listeners.callers, SENDERS, sent).await;
    site.check(crowd).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_that_sends_too_much() {
    let mut site = Site::start("too-much", BODIES).await;
    let piece = chunk(&[b' '; LARGE_CHUNK]);
    let sent = |n| Sent::head(chunked(n)).with_pieces(piece.clone(), 8 * LEGAL_BODY / LARGE_CHUNK);
    let crowd = crowd(site.listeners.callers, SENDERS, sent).await;
    site.check(crowd).await;
}

/// A head that is not ended.
fn unfinished_head() -> Sent {
    let start = "GET / HTTP/1.1\r\nhost: a\r\nx-filler: ";
    Sent::head(format!("{start}{}", "a".repeat(LONG_HEAD - start.len())))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_heads() {
    let mut site = Site::start("heads", CONNECTIONS).await;
    let crowd = crowd(site.listeners.callers, CONNECTED, |_| unfinished_head()).await;
    site.check(crowd).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_silent_connections() {
    let mut site = Site::start("silent", CONNECTIONS).await;
    let crowd = crowd(site.listeners.callers, CONNECTED, |_| Sent::head("")).await;
    site.check(crowd).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_at_readiness() {
    let mut site = Site::start("readiness", CONNECTIONS).await;
    let crowd = crowd(site.listeners.readiness, CONNECTED, |_| unfinished_head()).await;
    site.check(crowd).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_at_metrics() {
    let mut site = Site::start("metrics", CONNECTIONS).await;
    let crowd = crowd(site.listeners.metrics, CONNECTED, |_| unfinished_head()).await;
    site.check(crowd).await;
}

/// The first part of a frame that is not ended.
fn unfinished_frame() -> Vec<u8> {
    [&ANNOUNCED_FRAME.to_be_bytes()[..], &vec![0; SENT_FRAME]].concat()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_unknown_peers() {
    let mut site = Site::start("unknown-peers", CONNECTIONS).await;
    let crowd = crowd(site.listeners.peers, CONNECTED, |_| Sent::head(unfinished_frame())).await;
    site.check(crowd).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_at_the_seed_listener() {
    let mut site = Site::start("seeds", CONNECTIONS).await;
    let hello = Hello { version: 1, token: peers::TOKEN.to_string(), ..Hello::default() };
    let hello = Frame { call: 0, msg: Some(Msg::Hello(hello)) }.encode_to_vec();
    let opening = [&(hello.len() as u32).to_be_bytes()[..], &hello, &unfinished_frame()].concat();
    let crowd = crowd(site.listeners.seeds, CONNECTED, |_| Sent::head(opening.clone())).await;
    site.check(crowd).await;
}

/// Whole bodies that come to their end together: who is refused is told when to retry, and the job never runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_bodies_never_run() {
    let mut site = Site::start("refused", BODIES).await;
    let body = padded_job(LEGAL_BODY);
    let (most, last) = body.split_at(LEGAL_BODY - 1);
    let sent = |n| {
        let framing = format!("content-length: {LEGAL_BODY}\r\nconnection: close");
        Sent::head(head(n, &framing)).with_pieces(most.to_string(), 1).with_last(last.to_string())
    };
    let crowd = crowd(site.listeners.callers, SENDERS, sent).await;
    site.wait_until_settled(&crowd).await;
    tokio::time::timeout(PATIENCE, crowd.end()).await.expect("all connections end");
    let mut broken = Vec::new();
    let mut refused = Vec::new();
    for (client, answer) in crowd.answers() {
        let job = job_number(client);
        match status_of(&answer) {
            Some(200) => wait_until_completed(&site, &job).await,
            Some(429 | 503) if answer.contains("retry-after: ") => refused.push(job),
            Some(408 | 413) => refused.push(job),
            // Whether the job runs is open, and the answer says so.
            Some(502 | 504) => {}
            _ => broken.push(answer),
        }
    }
    println!("event=crowd_ended refused={} {}", refused.len(), site.figures());
    broken.extend(refused.into_iter().filter(|job| site.ledger.has_started(job)));
    assert!(broken.is_empty(), "{broken:#?}");
    site.check_ordinary_caller("after the crowd").await;
    site.check_limits();
}

async fn wait_until_completed(site: &Site, job: &str) {
    let until = Instant::now() + PATIENCE;
    let completed = JobReply::State("completed".to_string());
    while request_state(site.listeners.callers, job).await != completed {
        assert!(Instant::now() < until, "{job} was accepted and is not completed");
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Splits a body into pieces.
fn pieces(body: &str) -> impl Iterator<Item = Vec<u8>> {
    body.as_bytes().chunks(LARGE_CHUNK).map(<[u8]>::to_vec)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn largest_body_is_served_in_calm() {
    let mut site = Site::start("calm", BODIES).await;
    let (to, body) = (site.listeners.callers, padded_job(LEGAL_BODY));
    let close = "\r\nconnection: close";
    let length = |n, bytes: usize| head(n, &format!("content-length: {bytes}{close}")).into_bytes();
    let encoding = |n| head(n, &format!("transfer-encoding: chunked{close}")).into_bytes();
    let pause = Duration::from_millis(30);
    let at_once = std::iter::once([length(1, LEGAL_BODY), body.clone().into_bytes()].concat());
    let whole = exchange(to, at_once, Duration::ZERO).await;
    let slowly = exchange(to, std::iter::once(length(2, LEGAL_BODY)).chain(pieces(&body)), pause).await;
    let chunks = pieces(&body).map(|p| chunk(&p)).chain([b"0\r\n\r\n".to_vec()]);
    let in_chunks = exchange(to, std::iter::once(encoding(3)).chain(chunks), pause).await;
    for (client, answer) in [(1, whole), (2, slowly), (3, in_chunks)] {
        assert_eq!(status_of(&answer.clone().unwrap_or_default()), Some(200), "{client}: {answer:?}");
        wait_until_completed(&site, &job_number(client)).await;
    }
    let larger = padded_job(LEGAL_BODY + 1);
    let at_once = std::iter::once([length(4, LEGAL_BODY + 1), larger.into_bytes()].concat());
    let answer = exchange(to, at_once, Duration::ZERO).await.unwrap_or_default();
    let code = format!("x-workswood-code: {}\r\n", Code::BodyTooLarge.number());
    assert!(status_of(&answer) == Some(413) && answer.contains(&code), "{answer}");
    site.check_ordinary_caller("afterwards").await;
    site.check_limits();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announced_size_is_refused_unread() {
    let site = Site::start("announced-one", BODIES).await;
    let head = announced(1, 10_000_000_000).into_bytes();
    let exchange = exchange(site.listeners.callers, [head], Duration::ZERO);
    let answer = tokio::time::timeout(PATIENCE, exchange).await.ok().flatten().unwrap_or_default();
    let code = format!("x-workswood-code: {}\r\n", Code::BodyTooLarge.number());
    assert!(status_of(&answer) == Some(413) && answer.contains(&code), "{answer}");
    assert!(answer.contains("x-workswood-ran: not-run\r\n"), "{answer}");
}
