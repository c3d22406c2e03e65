//! Settings that every daemon has.

use std::{borrow::Cow, net::SocketAddr, path::PathBuf};

use domain::name;
use garde::Validate;
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Serialize};
use telemetry::log;

/// Where a daemon runs.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Place {
    /// The name of the VM.
    #[garde(custom(is_name))]
    pub vm: name::Vm,
    /// Its availability zone.
    #[garde(custom(is_name))]
    pub zone: name::AvailabilityZone,
    /// The region of that zone.
    #[garde(custom(is_name))]
    pub region: name::Region,
}

/// How a daemon logs.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The form of the lines.
    pub format: log::Format,
    /// The least important events that are logged.
    pub level: log::Level,
}

/// The schema of an address, which the generated one leaves open.
pub(crate) struct Address;

impl Address {
    /// The name of the format in the schema.
    pub(crate) const FORMAT: &str = "socket-address";

    /// Whether the text is an IP number and a port.
    pub(crate) fn is_valid(text: &str) -> bool {
        text.parse::<SocketAddr>().is_ok()
    }
}

impl JsonSchema for Address {
    fn schema_name() -> Cow<'static, str> {
        "Address".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "type": "string", "format": Self::FORMAT })
    }
}

/// The file with the secret that the system's processes share.
pub type SecretFile = PathBuf;

/// How old state may be before a daemon stops acting on it, in milliseconds.
pub(crate) fn max_feed_age_ms() -> u64 {
    5_000
}

#[allow(clippy::trivially_copy_pass_by_ref)]
pub(crate) fn is_name<T: AsRef<str>>(name: &T, (): &()) -> garde::Result {
    match domain::name::is_valid(name.as_ref()) {
        true => Ok(()),
        false => Err(garde::Error::new(
            "not a name of letters, digits, '.', '_' and '-'",
        )),
    }
}
