//! Admission by a limit: who waits, and who is refused at once.

use std::time::Duration;

use crate::common::{Relay, run};
use policy::{admission::Timeliness, placement};
use relay::gate;

const TARGET: Duration = Duration::from_millis(400);
/// Late answers after which the limit has fallen.
const ANSWERS: usize = 200;

/// Fails by a panic where the place in the queue is built although there is no room.
#[test]
fn a_full_queue_refuses_at_once() {
    run(async {
        let relay = Relay::start(&[]);
        let service = "s".into();
        let enter = async || {
            gate::enter(&relay.site, &service, TARGET, Timeliness::OnTime, || {
                Ok(2.0)
            })
            .await
        };
        let mut permits = Vec::new();
        for _ in 0..8 {
            permits.push(enter().await.ok().unwrap());
        }
        // Adjustments come with time; each falls below what runs.
        while let Ok(permit) = enter().await {
            (0..ANSWERS).for_each(|_| permit.begin(TARGET * 4, false));
            tokio::time::sleep(Duration::from_millis(260)).await;
        }
        let waiting = futures::future::join_all((0..12).map(|_| enter()));
        let refused = waiting.await;
        assert!(
            refused
                .iter()
                .all(|entered| matches!(entered, Err(placement::Error::Busy)))
        );
        drop(permits);
        assert!(enter().await.is_ok(), "there is room again");
    });
}

#[test]
fn what_nobody_may_serve_does_not_wait_for_a_turn() {
    run(async {
        let relay = Relay::start(&[]);
        let service = "s".into();
        let enter = async |slots| {
            gate::enter(&relay.site, &service, TARGET, Timeliness::OnTime, || slots).await
        };
        let held = enter(Ok(0.1)).await;
        assert!(held.is_ok());
        assert!(matches!(enter(Ok(0.1)).await, Err(placement::Error::Busy)));
        let pause = placement::Error::Paused(Duration::from_secs(7));
        for error in [placement::Error::NoInstance, pause] {
            let refused = enter(Err(error)).await.err();
            assert_eq!(refused, Some(error), "at once and by its own reason");
        }
    });
}
