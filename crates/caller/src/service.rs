//! Routes of plain services.

use domain::name;
use http::Uri;

/// The start of every path of a plain service.
pub const PREFIX: &str = "/v1/services/";

/// The service that a path names and the path below it, or nothing for another path.
pub fn split(uri: &Uri) -> Option<(name::Service, &str)> {
    let rest = uri.path().strip_prefix(PREFIX)?;
    let (service, path) = match rest.find('/') {
        Some(i) => rest.split_at(i),
        None => (rest, "/"),
    };
    name::is_valid(service).then(|| (name::Service::new(service), path))
}
