//! Names of customers, artifacts, VMs, services and other objects.
//!
//! Each name is a shared immutable string, because many tables hold the same name.

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
            /// Creates a name without validating it; see [`is_valid`].
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
    /// A customer, who has caller keys and one plan.
    Customer;
    /// A plan, which says what a group of customers may use.
    Plan;
    /// A model or an adapter, without its version.
    Artifact;
    /// A version of an artifact or of a list entry.
    Version;
    /// A virtual machine, as named in its settings.
    Vm;
    /// An availability zone, the unit that operators take out of service.
    AvailabilityZone;
    /// A region, a group of availability zones behind one slow link.
    Region;
    /// A service, either plain or served by model engines.
    Service;
    /// A route, which matches requests for one host and path prefix.
    Route;
    /// A part of a prompt, which several requests may share.
    Part;
    /// An upstream process that registered itself. A restarted process may use the same name again.
    Instance;
}

/// Whether `text` is a valid name: 1 to [`MAX_BYTES`] ASCII letters, digits, `.`, `_` and `-`.
pub fn is_valid(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    !text.is_empty() && text.len() <= MAX_BYTES && text.chars().all(is_allowed)
}
