//! Instances that end when they begin to answer a certain prompt.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, spawn_local},
    time,
};

use crate::common::{Control, Relay, Upstream, control, read_head, run};

const HEAD: &str = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n";
const EVENT: &str = "f\r\nid: 1\ndata: x\n\n\r\n";
const END: &str = "0\r\n\r\n";
/// Crashes of one moment count as one.
const MOMENT: Duration = Duration::from_millis(260);

/// An instance that crashes under requests with the word "deadly" in their head.
struct Fragile {
    address: SocketAddr,
    /// How many such requests it began.
    deadly: Rc<Cell<usize>>,
    /// Ends the process.
    ended: watch::Sender<bool>,
    accepting: JoinHandle<()>,
}

impl Fragile {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let deadly = Rc::new(Cell::new(0));
        let ended = watch::Sender::new(false);
        let accepting = spawn_local(accept(listener, deadly.clone(), ended.clone()));
        Self {
            address,
            deadly,
            ended,
            accepting,
        }
    }

    fn is_up(&self) -> bool {
        !self.accepting.is_finished()
    }
}

async fn accept(listener: TcpListener, deadly: Rc<Cell<usize>>, ended: watch::Sender<bool>) {
    let mut end = ended.subscribe();
    loop {
        tokio::select! {
            _ = end.wait_for(|ended| *ended) => return,
            accepted = listener.accept() => {
                let (stream, _) = accepted.unwrap();
                spawn_local(answer(stream, deadly.clone(), ended.clone()));
            }
        }
    }
}

async fn answer(mut stream: TcpStream, deadly: Rc<Cell<usize>>, ended: watch::Sender<bool>) {
    let mut end = ended.subscribe();
    let exchange = async {
        let head = read_head(&mut stream).await?;
        stream.write_all(HEAD.as_bytes()).await.ok()?;
        if head.contains("deadly") {
            deadly.set(deadly.get() + 1);
            time::sleep(Duration::from_millis(20)).await;
            ended.send_replace(true);
        }
        time::sleep(Duration::from_millis(40)).await;
        let rest = format!("{EVENT}{END}");
        stream.write_all(rest.as_bytes()).await.ok()
    };
    tokio::select! {
        _ = end.wait_for(|ended| *ended) => {}
        _ = exchange => {}
    }
}

async fn ask(relay: &Relay, parts: &str) -> String {
    let request = format!(
        "GET /stream/ HTTP/1.1\r\nhost: h\r\nid: q\r\nparts: {parts}\r\nconnection: close\r\n\r\n"
    );
    relay.send_raw(&request).await
}

async fn fleet(count: usize) -> (Vec<Fragile>, Rc<Control>) {
    let mut instances = Vec::new();
    for _ in 0..count {
        instances.push(Fragile::start().await);
    }
    let addresses: Vec<_> = instances.iter().map(|instance| instance.address).collect();
    let control = control(&addresses);
    (instances, control)
}

fn reached(instances: &[Fragile]) -> usize {
    instances.iter().map(|instance| instance.deadly.get()).sum()
}

/// Fails where requests are repeated and sent whatever crashed under them before: eight instances
/// of eight crashed.
#[test]
fn a_prompt_that_crashes_instances_does_not_take_them_down_one_after_the_other() {
    run(async {
        let (instances, control) = fleet(8).await;
        let relays: Vec<_> = (0..3).map(|_| Relay::join(control.clone())).collect();
        for n in 0..12 {
            // A sound request shares the first part, and acquits it.
            let sound = ask(&relays[n % 3], &format!("kind,own-{n}")).await;
            assert!(sound.starts_with("HTTP/1.1 200"), "{n}: {sound}");
            let parts = format!("kind,deadly,own-deadly-{n}");
            ask(&relays[n % 3], &parts).await;
            time::sleep(MOMENT).await;
        }
        let up = instances.iter().filter(|instance| instance.is_up()).count();
        assert!(up >= 4, "{up} of 8 are up");
        assert!(reached(&instances) <= 4, "{}", reached(&instances));
        assert!(control.quarantined().contains(&"deadly".to_owned()));
        let refused = ask(&relays[0], "kind,deadly,own").await;
        assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
        assert!(refused.contains("retry-after"), "{refused}");
        // A relay that starts later knows it from control.
        let late = Relay::join(control.clone());
        time::sleep(Duration::from_millis(20)).await;
        let refused = ask(&late, "kind,deadly,own").await;
        assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
        let sound = ask(&late, "kind,own").await;
        assert!(sound.starts_with("HTTP/1.1 200"), "{sound}");
        assert!(sound.ends_with(END), "{sound}");
    });
}

/// Fails where a request without a prompt is known by nothing: eight instances of eight crashed.
#[test]
fn a_request_without_a_prompt_that_crashes_instances_does_not_take_them_down_one_after_the_other() {
    run(async {
        for path in ["/again/", "/once/", "/stream/"] {
            let (instances, control) = fleet(8).await;
            let relays: Vec<_> = (0..3).map(|_| Relay::join(control.clone())).collect();
            for n in 0..12 {
                let sound = relays[n % 3].send(&format!("{path}sound-{n}")).await;
                assert!(sound.starts_with("HTTP/1.1 200"), "{path} {n}: {sound}");
                relays[n % 3].send(&format!("{path}deadly")).await;
                time::sleep(MOMENT).await;
            }
            assert!(reached(&instances) <= 4, "{path}: {}", reached(&instances));
            let refused = relays[0].send(&format!("{path}deadly")).await;
            assert!(refused.starts_with("HTTP/1.1 503"), "{path}: {refused}");
            assert!(refused.contains("retry-after"), "{path}: {refused}");
            // The same path with another body is another request.
            let other = format!(
                "GET {path}deadly HTTP/1.1\r\nhost: h\r\nid: q\r\nconnection: close\r\n\
                 content-length: 1\r\n\r\nx"
            );
            let other = relays[0].send_raw(&other).await;
            assert!(other.starts_with("HTTP/1.1 502"), "{path}: {other}");
        }
    });
}

/// Fails where the second attempt does not look at the first: two instances crash.
#[test]
fn a_request_that_was_in_a_crash_before_is_not_repeated() {
    run(async {
        let (instances, control) = fleet(6).await;
        let relay = Relay::join(control);
        ask(&relay, "deadly,own-1").await;
        let first = reached(&instances);
        time::sleep(MOMENT).await;
        let answer = ask(&relay, "deadly,own-2").await;
        assert_eq!(reached(&instances) - first, 1, "{answer}");
        // It may have run, so that nothing is promised.
        assert!(!answer.starts_with("HTTP/1.1 503"), "{answer}");
    });
}

/// Every instance ends at the same moment, with many requests of one kind on them.
#[test]
fn the_loss_of_every_instance_puts_nothing_into_quarantine() {
    run(async {
        let (instances, control) = fleet(6).await;
        let relays: Vec<_> = (0..3).map(|_| Relay::join(control.clone())).collect();
        let asked = (0..24).map(|n| {
            let relay = &relays[n % 3];
            async move { ask(relay, &format!("kind,session,own-{n}")).await }
        });
        let lost = async {
            time::sleep(Duration::from_millis(20)).await;
            for instance in &instances {
                instance.ended.send_replace(true);
            }
        };
        tokio::join!(futures::future::join_all(asked), lost);
        time::sleep(MOMENT).await;
        assert!(
            control.quarantined().is_empty(),
            "{:?}",
            control.quarantined()
        );
    });
}

/// Fails where any answer acquits: a part that an instance turned away counted as sound.
#[test]
fn a_rejection_acquits_no_part() {
    const REJECTED: &str = "HTTP/1.1 404 No\r\nid: q\r\nseal: 1\r\ncontent-length: 0\r\n\r\n";
    run(async {
        let fragile = Fragile::start().await;
        let rejecting = Upstream::start(&[REJECTED; 40]).await;
        let control = control(&[fragile.address, rejecting.address]);
        let relay = Relay::join(control.clone());
        while fragile.is_up() {
            ask(&relay, "deadly,own").await;
        }
        time::sleep(MOMENT).await;
        let answer = ask(&relay, "deadly,own").await;
        assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
        time::sleep(MOMENT).await;
        assert!(control.suspected().contains(&"deadly".to_owned()));
    });
}
