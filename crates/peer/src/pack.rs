//! MessagePack coding of `domain` types inside `Data` fields.

use serde::{Serialize, de::DeserializeOwned};

/// Codes a value.
pub fn encode<T: Serialize>(value: &T) -> capnp::Result<Vec<u8>> {
    rmp_serde::to_vec_named(value).map_err(|error| capnp::Error::failed(error.to_string()))
}

/// Reads a value back.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> capnp::Result<T> {
    rmp_serde::from_slice(bytes).map_err(|error| capnp::Error::failed(error.to_string()))
}
