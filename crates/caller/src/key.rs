//! Callers' keys.

use http::{HeaderMap, header::AUTHORIZATION};

/// The scheme of the `Authorization` header.
const SCHEME: &str = "bearer";

/// The key that a request presents, or nothing if it presents none.
pub fn presented(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    match key.trim() {
        key if !key.is_empty() && scheme.eq_ignore_ascii_case(SCHEME) => Some(key),
        _ => None,
    }
}
