//! Chat completions: the parts of the body on which the entry acts.

use std::borrow::Cow;

use policy::affinity::Point;
use serde::Deserialize;
use serde_json::value::RawValue;

/// The path of the route.
pub const PATH: &str = "/v1/chat/completions";

/// A request for a completion. The rest of the body is passed on as it came.
#[derive(Debug, Deserialize)]
pub struct Request<'a> {
    /// The model, perhaps with `@version`.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// The adapter, perhaps with `@version`.
    #[serde(borrow, default)]
    pub adapter: Option<Cow<'a, str>>,
    /// Whether the answer comes as events.
    #[serde(default)]
    pub stream: bool,
    /// The prompt.
    #[serde(borrow)]
    pub messages: &'a RawValue,
}

impl<'a> Request<'a> {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn from_json(body: &'a [u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(body)
    }

    /// The point of the prompt's start in the hash space.
    pub fn prefix(&self) -> Point {
        Point::of_prefix(self.messages.get().as_bytes())
    }
}

/// The parts of a whole answer that tell whose it is.
#[derive(Debug, Deserialize)]
pub struct Answer<'a> {
    /// The attempt that it belongs to.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// The version that made it, as `name@version`.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
}
