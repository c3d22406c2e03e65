//! Faults that the engine makes on request, by `POST /faults`.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// What goes wrong with one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// The connection ends before the answer's head.
    CutBeforeHead,
    /// The connection ends after this many tokens. A plain answer ends in its middle.
    Cut {
        /// How many tokens still come.
        after: u32,
    },
    /// A stream ends cleanly after this many tokens, without its terminator.
    NoTerminator {
        /// How many tokens still come.
        after: u32,
    },
    /// The answer's head bears the id of another call.
    CrossedHead,
    /// The body or the events after this many tokens bear the id and text of another call.
    CrossedBody {
        /// How many tokens are right.
        after: u32,
    },
    /// The answer's head comes late.
    Late {
        /// By how much, in milliseconds.
        ms: u64,
    },
    /// Nothing more comes after this many tokens, and the connection stays open.
    Freeze {
        /// How many tokens still come.
        after: u32,
    },
    /// No answer's head ever comes, and the connection stays open.
    FreezeBeforeHead,
    /// The call is refused or fails with this status.
    Error {
        /// The HTTP status.
        status: u16,
    },
}

/// The body of `POST /faults`. What is left out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Request {
    /// Turns the engine cold, without a restart.
    pub cold: bool,
    /// Ends the process.
    pub crash: bool,
    /// Answers nothing at all for so long, in milliseconds.
    pub freeze_ms: Option<u64>,
    /// Faults of the next calls, one each; `null` lets a call pass.
    pub next: Vec<Option<Fault>>,
    /// The fault of every call that no other one is set for; `null` ends it.
    #[serde(deserialize_with = "given", skip_serializing_if = "Option::is_none")]
    pub always: Option<Option<Fault>>,
    /// Makes every load order fail.
    pub fail_loads: Option<bool>,
}

fn given<'de, D: serde::Deserializer<'de>>(reader: D) -> Result<Option<Option<Fault>>, D::Error> {
    Option::deserialize(reader).map(Some)
}

/// The faults still to come.
#[derive(Debug, Default)]
pub struct Plan {
    next: VecDeque<Option<Fault>>,
    always: Option<Fault>,
    /// Whether every load order fails.
    pub fails_loads: bool,
}

impl Plan {
    /// Adds what a request asks for.
    pub fn add(&mut self, request: &Request) {
        self.next.extend(request.next.iter().cloned());
        if let Some(always) = &request.always {
            self.always.clone_from(always);
        }
        if let Some(fails_loads) = request.fail_loads {
            self.fails_loads = fails_loads;
        }
    }

    /// The fault of the call that comes in now.
    pub fn take(&mut self) -> Option<Fault> {
        self.next.pop_front().unwrap_or_else(|| self.always.clone())
    }
}
