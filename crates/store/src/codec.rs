//! Values as they stand in the file: a BLAKE3 checksum, then MessagePack.

use serde::{Serialize, de::DeserializeOwned};

const CHECKSUM_BYTES: usize = 32;

/// Codes a value with its checksum.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = vec![0; CHECKSUM_BYTES];
    rmp_serde::encode::write(&mut bytes, value)?;
    let checksum = blake3::hash(&bytes[CHECKSUM_BYTES..]);
    bytes[..CHECKSUM_BYTES].copy_from_slice(checksum.as_bytes());
    Ok(bytes)
}

/// Reads a value back, or says what is wrong with it.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let (checksum, value) = bytes
        .split_at_checked(CHECKSUM_BYTES)
        .ok_or("a value is too short")?;
    if blake3::hash(value).as_bytes() != checksum {
        return Err("a checksum does not match".to_owned());
    }
    rmp_serde::from_slice(value).map_err(|error| error.to_string())
}
