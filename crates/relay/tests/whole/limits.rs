//! Instances that name a limit on what all entries together may send them.

use std::time::Duration;

use crate::common::{Relay, Upstream, control_of_entries, run};

const LIMITED: &str =
    "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\nlimit: 1000\r\ncontent-length: 9\r\n\r\ndata: x\n\n";
const ENTRIES: u16 = 7;
const STEP: Duration = Duration::from_millis(100);
/// The steps after which the bound holds.
const CONTACT_STEPS: usize = 30;
/// The steps of the span over which requests are counted.
const SPAN_STEPS: usize = 40;
/// What may arrive in a span at an instance that names a limit of 1 request a second.
const MOST: usize = 11;

#[test]
fn entries_together_keep_the_limit_that_an_instance_names() {
    run(async {
        for path in ["/again/", "/stream/"] {
            let upstream = Upstream::start(&[LIMITED; 2_000]).await;
            let (control, clock) = control_of_entries(upstream.address, ENTRIES);
            let relays: Vec<_> = (0..ENTRIES)
                .map(|n| Relay::join_as(control.clone(), n))
                .collect();
            let mut reached = vec![0];
            for _ in 0..CONTACT_STEPS + 2 * SPAN_STEPS {
                clock.advance(STEP);
                for relay in &relays {
                    relay.send(path).await;
                }
                reached.push(upstream.heads.borrow().len());
            }
            let spans = reached[CONTACT_STEPS..].windows(SPAN_STEPS + 1);
            let most = spans.map(|span| span[SPAN_STEPS] - span[0]).max();
            assert!(most <= Some(MOST), "{path}: {most:?} in a span");
        }
    });
}
