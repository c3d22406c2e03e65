//! The lifecycle of an upstream: each event in each state.

use domain::vm::Lifecycle::{self, Announced, Cold, Draining, Gone, Loading, Warm};
use policy::lifecycle::{
    Event::{self, Cooled, Drain, Drained, LoadOrdered, Lost, Serving, Unloaded, Warmed},
    Tracker,
};

/// Returns a tracker in the given state.
fn tracker(state: Lifecycle) -> Tracker {
    let events: &[Event] = match state {
        Announced => &[],
        Loading => &[LoadOrdered],
        Cold => &[Serving],
        Warm => &[Serving, Warmed],
        Draining => &[Drain],
        Gone => &[Drain, Drained],
    };
    let mut tracker = Tracker::new();
    for event in events {
        tracker.handle(*event);
    }
    assert_eq!(tracker.state(), state);
    tracker
}

#[test]
fn each_event_leads_to_expected_state() {
    // Each row has a state and the states that follow from these events, in this order.
    let events = [
        LoadOrdered,
        Serving,
        Unloaded,
        Warmed,
        Cooled,
        Lost,
        Drain,
        Drained,
    ];
    let table = [
        (
            Announced,
            [
                Loading, Cold, Announced, Announced, Announced, Announced, Draining, Announced,
            ],
        ),
        (
            Loading,
            [
                Loading, Cold, Loading, Loading, Loading, Announced, Draining, Loading,
            ],
        ),
        (
            Cold,
            [Cold, Cold, Announced, Warm, Cold, Announced, Draining, Cold],
        ),
        (
            Warm,
            [Warm, Warm, Announced, Warm, Cold, Announced, Draining, Warm],
        ),
        (
            Draining,
            [
                Draining, Draining, Draining, Draining, Draining, Draining, Draining, Gone,
            ],
        ),
        (Gone, [Gone; 8]),
    ];
    for (state, expected) in table {
        for (event, next) in events.into_iter().zip(expected) {
            assert_eq!(tracker(state).handle(event), next, "{event:?} in {state}");
        }
    }
}
