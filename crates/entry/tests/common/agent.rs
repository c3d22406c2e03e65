//! An agent with its upstream, in one: it answers as scripted and counts what it ran.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use domain::{
    call::{Attempt, Outcome, Peer, Problem, Step},
    digest::Digest,
    header,
    ledger::{Answer, Holder, Key, Reply, Write},
    name,
};
use futures::{StreamExt, future, stream};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Frame, Incoming};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use parking_lot::Mutex;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use super::{SECRET, control::Fake};

pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// How many tokens a whole answer has.
pub const TOKENS: u64 = 6;

/// What an agent does with the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// The whole answer.
    Whole,
    /// The whole answer after a while.
    Slow(Duration),
    /// A refusal before anything ran.
    Refuse,
    /// A refusal for want of room, with a load report to match.
    Full,
    /// A refusal since the customer is over its share here.
    OverShare,
    /// The connection is cut before the call ran.
    CutBeforeRun,
    /// The connection is cut after the call ran, before the head.
    CutBeforeHead,
    /// Nothing ever comes, and nothing ran.
    Silent,
    /// The call ran, and nothing ever comes.
    SilentAfterRun,
    /// The connection is cut after the head and this many tokens or bytes.
    CutAfter(u64),
    /// Nothing comes after the head and this many tokens or bytes.
    SilentAfter(u64),
    /// The body ends cleanly after this many tokens or bytes.
    EndAfter(u64),
    /// A body that ends cleanly before the length that its head names.
    ShortOfLength,
    /// Another attempt's id in the head.
    CrossedHead,
    /// No id in the head.
    NoEcho,
    /// Another attempt's id in the body.
    CrossedBody,
    /// Another version in the body.
    OtherVersion,
    /// This token is left out.
    Gap(u64),
    /// A body of this many bytes.
    Large(usize),
    /// A resume begins this many tokens too early.
    Overlap(u64),
}

/// A call that the upstream ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub model: Option<String>,
    pub resume_from: u64,
    pub once_key: Option<String>,
}

/// What an agent has seen.
#[derive(Default)]
pub struct Seen {
    pub calls: AtomicUsize,
    pub connections: AtomicUsize,
    pub cancelled: AtomicUsize,
    pub runs: Mutex<Vec<Run>>,
}

pub struct Agent {
    pub vm: &'static str,
    pub addr: SocketAddr,
    pub seen: Arc<Seen>,
    script: Arc<Mutex<Script>>,
    /// Connections below this number are silent.
    muted: Arc<AtomicUsize>,
    accepting: JoinHandle<()>,
}

struct Script {
    next: Vec<Act>,
    always: Act,
    ledger: Option<Arc<Fake>>,
    load: &'static str,
}

impl Agent {
    /// An agent that answers every call whole.
    pub async fn new(vm: &'static str) -> Self {
        let listener = TcpListener::bind("127.40.0.2:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let script = Arc::new(Mutex::new(Script {
            next: Vec::new(),
            always: Act::Whole,
            ledger: None,
            load: "1/0/8",
        }));
        let (seen, muted) = (Arc::new(Seen::default()), Arc::new(AtomicUsize::new(0)));
        let state = (seen.clone(), script.clone(), muted.clone());
        let accepting = tokio::spawn(accept(listener, vm, state));
        Self {
            vm,
            addr,
            seen,
            script,
            muted,
            accepting,
        }
    }

    /// Plays these acts, one for each call, before the usual one.
    pub fn play(&self, acts: impl IntoIterator<Item = Act>) {
        let mut acts: Vec<_> = acts.into_iter().collect();
        acts.reverse();
        self.script.lock().next = acts;
    }

    pub fn always(&self, act: Act) {
        self.script.lock().always = act;
    }

    pub fn set_load(&self, load: &'static str) {
        self.script.lock().load = load;
    }

    /// Asks this ledger before it runs a call that may not be repeated.
    pub fn with_ledger(self, ledger: &Arc<Fake>) -> Self {
        self.script.lock().ledger = Some(ledger.clone());
        self
    }

    pub fn calls(&self) -> usize {
        self.seen.calls.load(Ordering::SeqCst)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.seen.runs.lock().clone()
    }

    pub fn connections(&self) -> usize {
        self.seen.connections.load(Ordering::SeqCst)
    }

    pub fn cancelled(&self) -> usize {
        self.seen.cancelled.load(Ordering::SeqCst)
    }

    /// All connections that are now open become silent for good; new ones work.
    pub fn mute_connections(&self) {
        self.muted.store(self.connections(), Ordering::SeqCst);
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

type State = (Arc<Seen>, Arc<Mutex<Script>>, Arc<AtomicUsize>);

async fn accept(listener: TcpListener, vm: &'static str, state: State) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let number = state.0.connections.fetch_add(1, Ordering::SeqCst) + 1;
        let io = Mutable {
            inner: stream,
            number,
            muted: state.2.clone(),
        };
        let state = state.clone();
        tokio::spawn(async move {
            let cut = Arc::new(tokio::sync::Notify::new());
            let connection_cut = cut.clone();
            let service = hyper::service::service_fn(move |request| {
                let (state, cut) = (state.clone(), cut.clone());
                async move { Ok::<_, Infallible>(answer(vm, request, &state, &cut).await) }
            });
            let mut builder = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
            builder.timer(TokioTimer::new());
            let connection = builder.serve_connection(TokioIo::new(io), service);
            tokio::select! {
                _ = connection => {}
                () = connection_cut.notified() => {}
            }
        });
    }
}

/// Counts an answer that was dropped before it was whole.
struct Watch(Option<Arc<Seen>>);

impl Drop for Watch {
    fn drop(&mut self) {
        if let Some(seen) = &self.0 {
            seen.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

struct Call {
    vm: &'static str,
    attempt: String,
    model: Option<String>,
    resume_from: u64,
    once_key: Option<String>,
    path: String,
    method: String,
    body: Bytes,
    is_stream: bool,
    load: &'static str,
}

async fn answer(
    vm: &'static str,
    request: Request<Incoming>,
    (seen, script, _): &State,
    cut: &Arc<tokio::sync::Notify>,
) -> Response<Body> {
    seen.calls.fetch_add(1, Ordering::SeqCst);
    let (act, ledger, load) = {
        let mut script = script.lock();
        let act = script.next.pop().unwrap_or(script.always);
        (act, script.ledger.clone(), script.load)
    };
    let call = read(vm, request, load).await;
    let mut watch = Watch(Some(seen.clone()));
    match act {
        Act::Refuse => return refuse(&call, Step::Choose, StatusCode::SERVICE_UNAVAILABLE),
        Act::Full => return refuse(&call, Step::Queue, StatusCode::SERVICE_UNAVAILABLE),
        Act::OverShare => return refuse(&call, Step::Queue, StatusCode::TOO_MANY_REQUESTS),
        Act::CutBeforeRun => {
            cut.notify_one();
            future::pending::<()>().await;
        }
        Act::Silent => future::pending::<()>().await,
        _ => {}
    }
    if let Some(refusal) = start(&call, ledger.as_deref()) {
        watch.0 = None;
        return refusal;
    }
    seen.runs.lock().push(Run {
        attempt: call.attempt.clone(),
        model: call.model.clone(),
        resume_from: call.resume_from,
        once_key: call.once_key.clone(),
    });
    if let Act::Slow(pause) = act {
        tokio::time::sleep(pause).await;
    }
    finish(&call, act, ledger.as_deref());
    match act {
        Act::CutBeforeHead => {
            cut.notify_one();
            future::pending::<()>().await;
        }
        Act::SilentAfterRun => future::pending::<()>().await,
        _ => {}
    }
    respond(&call, act, watch, cut.clone())
}

async fn read(vm: &'static str, request: Request<Incoming>, load: &'static str) -> Call {
    let (head, body) = request.into_parts();
    let text = |name: &str| {
        let value = head.headers.get(name)?;
        Some(value.to_str().unwrap().to_owned())
    };
    assert_eq!(text("authorization").unwrap(), format!("Bearer {SECRET}"));
    let body = body
        .collect()
        .await
        .map(|whole| whole.to_bytes())
        .unwrap_or_default();
    Call {
        vm,
        attempt: text(header::ATTEMPT).unwrap(),
        model: text(header::MODEL),
        resume_from: text(header::RESUME_FROM).map_or(0, |n| n.parse().unwrap()),
        once_key: text(header::ONCE_KEY),
        path: head.uri.path().to_owned(),
        method: head.method.to_string(),
        is_stream: body.windows(13).any(|part| part == b"\"stream\":true"),
        body,
        load,
    }
}

/// Asks the ledger, as an agent does immediately before it sends a call to its upstream.
fn start(call: &Call, ledger: Option<&Fake>) -> Option<Response<Body>> {
    let (key, attempt, holder) = ledger_names(call)?;
    let reply = ledger?.write(Write::Start {
        key,
        attempt,
        body: Digest::of(&call.body),
        holder,
    });
    let problem = |status, outcome, detail: String| {
        let mut refusal = refuse_with(call, Step::Ledger, status, outcome, &detail);
        refusal
            .headers_mut()
            .insert(header::OUTCOME, outcome.to_string().parse().unwrap());
        refusal
    };
    match reply {
        Reply::Granted => None,
        Reply::Finished { answer, .. } => {
            let body = Full::new(Bytes::from(answer.body.unwrap()));
            let mut response = Response::new(body.map_err(|e| match e {}).boxed_unsync());
            *response.status_mut() = StatusCode::from_u16(answer.status).unwrap();
            let headers = response.headers_mut();
            headers.insert(header::ATTEMPT, call.attempt.parse().unwrap());
            headers.insert(header::REPLAY, "true".parse().unwrap());
            Some(response)
        }
        Reply::Mismatch => {
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            Some(problem(status, Outcome::NotRun, "another body".to_owned()))
        }
        Reply::Started { .. } => {
            let status = StatusCode::CONFLICT;
            Some(problem(
                status,
                Outcome::Unknown,
                "started before".to_owned(),
            ))
        }
        other => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Some(problem(status, Outcome::NotRun, format!("{other:?}")))
        }
    }
}

fn finish(call: &Call, act: Act, ledger: Option<&Fake>) {
    let (Some((key, attempt, holder)), Some(ledger)) = (ledger_names(call), ledger) else {
        return;
    };
    if act == Act::SilentAfterRun {
        return;
    }
    ledger.write(Write::Finish {
        key,
        attempt,
        holder,
        answer: Answer {
            status: 201,
            content_type: Some("application/json".into()),
            body: Some(service_body(call).into()),
        },
    });
}

fn ledger_names(call: &Call) -> Option<(Key, Attempt, Holder)> {
    let once_key = call.once_key.as_deref()?;
    let customer = name::Customer::new("vaalkop");
    let holder = Holder {
        vm: name::Vm::new(call.vm),
        incarnation: 1,
    };
    let key = Key::of_call(customer, once_key, &call.method, &call.path);
    Some((key, Attempt::parse(&call.attempt).unwrap(), holder))
}

fn refuse(call: &Call, step: Step, status: StatusCode) -> Response<Body> {
    refuse_with(call, step, status, Outcome::NotRun, "scripted")
}

fn refuse_with(
    call: &Call,
    step: Step,
    status: StatusCode,
    outcome: Outcome,
    detail: &str,
) -> Response<Body> {
    let problem = Problem {
        status: status.as_u16(),
        detail: detail.to_owned(),
        outcome,
        step,
        peer: Peer::Agent(name::Vm::new(call.vm)),
        retry_after_ms: Some(1_500),
    };
    let body = Full::new(Bytes::from(serde_json::to_vec(&problem).unwrap()));
    let mut response = Response::new(body.map_err(|e| match e {}).boxed_unsync());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::ATTEMPT, call.attempt.parse().unwrap());
    headers.insert(header::OUTCOME, outcome.to_string().parse().unwrap());
    headers.insert(header::LOAD, call.load.parse().unwrap());
    response
}

fn respond(call: &Call, act: Act, watch: Watch, cut: Arc<tokio::sync::Notify>) -> Response<Body> {
    let parts = match (&call.model, call.is_stream) {
        (Some(_), true) => events(call, act),
        _ => pieces(call, act),
    };
    let whole: usize = parts.iter().map(Bytes::len).sum();
    let kept = match act {
        Act::CutAfter(n) | Act::SilentAfter(n) | Act::EndAfter(n) => n as usize,
        Act::ShortOfLength => parts.len() - 1,
        _ => parts.len(),
    };
    let frames = stream::iter(parts.into_iter().take(kept));
    let frames = frames.then(|part| async move {
        tokio::task::yield_now().await;
        Ok(Frame::data(part))
    });
    let end = async move {
        let mut watch = watch;
        match act {
            Act::CutAfter(_) => {
                // What was sent must leave before the connection does.
                tokio::time::sleep(Duration::from_millis(30)).await;
                watch.0 = None;
                cut.notify_one();
                future::pending::<()>().await;
            }
            Act::SilentAfter(_) => future::pending::<()>().await,
            _ => watch.0 = None,
        }
        None::<Result<Frame<Bytes>, io::Error>>
    };
    let end = stream::once(end).filter_map(future::ready);
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames.chain(end))));
    let headers = response.headers_mut();
    let attempt = match act {
        Act::CrossedHead => Some(other_attempt()),
        Act::NoEcho => None,
        _ => Some(call.attempt.clone()),
    };
    if let Some(attempt) = attempt {
        headers.insert(header::ATTEMPT, attempt.parse().unwrap());
    }
    headers.insert(header::LOAD, call.load.parse().unwrap());
    let media_type = match call.is_stream && call.model.is_some() {
        true => "text/event-stream",
        false => "application/json",
    };
    headers.insert("content-type", media_type.parse().unwrap());
    if act == Act::ShortOfLength {
        headers.insert("content-length", whole.into());
    }
    if call.model.is_none() {
        *response.status_mut() = StatusCode::CREATED;
    }
    response
}

fn other_attempt() -> String {
    Attempt::from(7).to_string()
}

fn names(call: &Call, act: Act) -> (String, String) {
    let id = match act {
        Act::CrossedBody => other_attempt(),
        _ => call.attempt.clone(),
    };
    let model = match act {
        Act::OtherVersion => "tide@7".to_owned(),
        _ => call.model.clone().unwrap_or_default(),
    };
    (id, model)
}

fn events(call: &Call, act: Act) -> Vec<Bytes> {
    let (id, model) = names(call, act);
    let first = match act {
        Act::Overlap(n) => (call.resume_from + 1).saturating_sub(n).max(1),
        _ => call.resume_from + 1,
    };
    let tokens = (first..=TOKENS).filter(|n| act != Act::Gap(*n)).map(|n| {
        let choice = format!(r#"[{{"index":0,"delta":{{"content":"t{n} "}}}}]"#);
        let data =
            format!(r#"{{"id":"{id}","model":"{model}","position":{n},"choices":{choice}}}"#);
        Bytes::from(format!("data: {data}\n\n"))
    });
    tokens.chain([Bytes::from("data: [DONE]\n\n")]).collect()
}

/// The body of an answer in one piece, in several frames.
fn pieces(call: &Call, act: Act) -> Vec<Bytes> {
    let body = match &call.model {
        None => service_body(call),
        Some(_) => {
            let (id, model) = names(call, act);
            format!(r#"{{"id":"{id}","model":"{model}","choices":["whole"]}}"#)
        }
    };
    if let Act::Large(bytes) = act {
        return vec![Bytes::from(vec![b'x'; bytes])];
    }
    let body = Bytes::from(body);
    body.chunks(8).map(Bytes::copy_from_slice).collect()
}

fn service_body(call: &Call) -> String {
    format!(r#"{{"booked":"{}","by":"{}"}}"#, call.attempt, call.vm)
}

/// A connection that can become silent for good.
struct Mutable {
    inner: TcpStream,
    number: usize,
    muted: Arc<AtomicUsize>,
}

impl Mutable {
    fn is_muted(&self) -> bool {
        self.number <= self.muted.load(Ordering::SeqCst)
    }
}

impl AsyncRead for Mutable {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_muted() {
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if self.is_muted() {
            buf.clear();
            return Poll::Pending;
        }
        read
    }
}

impl AsyncWrite for Mutable {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.is_muted() {
            true => Poll::Pending,
            false => Pin::new(&mut self.inner).poll_write(cx, buf),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
