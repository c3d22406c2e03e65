//! Names of the things that the system serves.
//!
//! Each name is a shared immutable string, because the same name stands in many tables at once.

use std::sync::Arc;

use derive_more::{AsRef, Display};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The longest accepted name, in bytes.
pub const MAX_BYTES: usize = 128;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, AsRef, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        #[as_ref(str)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps the given text. [`is_valid`] says whether it may appear in a list.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    )*};
}

names! {
    /// A customer: the holder of caller keys and of one plan.
    Customer;
    /// A plan: what a group of customers may use.
    Plan;
    /// A model or an adapter, without its version.
    Artifact;
    /// A version of an artifact, or of a list entry.
    Version;
    /// A virtual machine, as its settings name it.
    Vm;
    /// An availability zone: the unit that operators take out of service.
    AvailabilityZone;
    /// A region: a group of availability zones behind one slow link.
    Region;
    /// A service: plain, or served by model engines.
    Service;
    /// A route: requests for one host and path prefix.
    Route;
    /// An upstream process that registered itself. A restart may take the same name again.
    Instance;
}

/// Whether `text` may be used as a name: 1 to [`MAX_BYTES`] of letters, digits, `.`, `_` and `-`.
pub fn is_valid(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    !text.is_empty() && text.len() <= MAX_BYTES && text.chars().all(is_allowed)
}
