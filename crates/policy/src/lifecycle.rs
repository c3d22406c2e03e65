//! The lifecycle of an upstream, from its announcement to its end.
//!
//! See `docs/ARCHITECTURE.md`, "Agent".

use domain::vm::Lifecycle;
use statig::prelude::*;

/// A change of the upstream or of its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The agent was ordered to load a version.
    LoadOrdered,
    /// The upstream serves at least one version, or is a plain service that answers.
    Serving,
    /// The upstream serves no version.
    Unloaded,
    /// The concurrency limit has grown to its warm value.
    Warmed,
    /// The upstream showed a sign of being cold.
    Cooled,
    /// The upstream's process ended or doesn't answer.
    Lost,
    /// The agent was asked to shut down.
    Drain,
    /// The last running call has ended.
    Drained,
}

/// The state machine, which starts as [`Lifecycle::Announced`].
#[derive(Debug, Default)]
pub struct Machine;

#[state_machine(
    initial = "State::announced()",
    state(derive(Clone, Copy, Debug, PartialEq, Eq))
)]
impl Machine {
    #[state(superstate = "active")]
    fn announced(event: &Event) -> Outcome<State> {
        match event {
            Event::LoadOrdered => Transition(State::loading()),
            Event::Serving => Transition(State::cold()),
            _ => Super,
        }
    }

    #[state(superstate = "active")]
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

    #[superstate(superstate = "active")]
    fn serving(event: &Event) -> Outcome<State> {
        match event {
            Event::Unloaded => Transition(State::announced()),
            _ => Super,
        }
    }

    #[superstate]
    fn active(event: &Event) -> Outcome<State> {
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

/// Tracks the lifecycle of one upstream.
pub struct Tracker {
    machine: StateMachine<Machine>,
}

impl Tracker {
    /// Creates a tracker in the initial state.
    pub fn new() -> Self {
        Self {
            machine: Machine.state_machine(),
        }
    }

    /// Handles an event and returns the new state.
    pub fn handle(&mut self, event: Event) -> Lifecycle {
        self.machine.handle(&event);
        self.state()
    }

    /// Returns the current state.
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
