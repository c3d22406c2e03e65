//! How an upstream stands towards new work, from its announcement to its end.
//!
//! See `docs/ARCHITECTURE.md`, "Agent".

use domain::vm::Lifecycle;
use statig::prelude::*;

/// What the agent learns about its upstream and about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A load order was given.
    LoadOrdered,
    /// The upstream serves at least one version, or is a plain service that answers.
    Serving,
    /// It serves nothing.
    Unloaded,
    /// Its concurrency limit has grown up to the warm figure.
    Warmed,
    /// A sign of a cold upstream was seen.
    Cooled,
    /// The process ended, or does not answer.
    Lost,
    /// The agent was told to end.
    Drain,
    /// The last running call ended.
    Drained,
}

/// The state machine. It starts as [`Lifecycle::Announced`].
#[derive(Debug, Default)]
pub struct Machine;

#[state_machine(
    initial = "State::announced()",
    state(derive(Clone, Copy, Debug, PartialEq, Eq))
)]
impl Machine {
    #[state(superstate = "taking")]
    fn announced(event: &Event) -> Outcome<State> {
        match event {
            Event::LoadOrdered => Transition(State::loading()),
            Event::Serving => Transition(State::cold()),
            _ => Super,
        }
    }

    #[state(superstate = "taking")]
    fn loading(event: &Event) -> Outcome<State> {
        match event {
            Event::Serving => Transition(State::cold()),
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn cold(event: &Event) -> Outcome<State> {
        match event {
            Event::Warmed => Transition(State::warm()),
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn warm(event: &Event) -> Outcome<State> {
        match event {
            Event::Cooled => Transition(State::cold()),
            _ => Super,
        }
    }

    #[superstate(superstate = "taking")]
    fn serving(event: &Event) -> Outcome<State> {
        match event {
            Event::Unloaded => Transition(State::announced()),
            _ => Super,
        }
    }

    #[superstate]
    fn taking(event: &Event) -> Outcome<State> {
        match event {
            Event::Lost => Transition(State::announced()),
            Event::Drain => Transition(State::draining()),
            _ => Handled,
        }
    }

    #[state]
    fn draining(event: &Event) -> Outcome<State> {
        match event {
            Event::Drained => Transition(State::gone()),
            _ => Handled,
        }
    }

    #[state]
    fn gone() -> Outcome<State> {
        Handled
    }
}

/// The lifecycle of one upstream.
pub struct Tracker {
    machine: StateMachine<Machine>,
}

impl Tracker {
    /// A lifecycle at its start.
    pub fn new() -> Self {
        Self {
            machine: Machine.state_machine(),
        }
    }

    /// Takes an event and returns the state after it.
    pub fn handle(&mut self, event: Event) -> Lifecycle {
        self.machine.handle(&event);
        self.state()
    }

    /// The state.
    pub fn state(&self) -> Lifecycle {
        match self.machine.state() {
            State::Announced {} => Lifecycle::Announced,
            State::Loading {} => Lifecycle::Loading,
            State::Cold {} => Lifecycle::Cold,
            State::Warm {} => Lifecycle::Warm,
            State::Draining {} => Lifecycle::Draining,
            State::Gone {} => Lifecycle::Gone,
        }
    }
}

impl Default for Tracker {
    fn default() -> Self {
        Self::new()
    }
}
