//! What several tests need of the feed.

use domain::record::{Batch, Cursor, Delta, Record};
use policy::view::View;

/// A view of these records.
pub(crate) fn view(records: impl IntoIterator<Item = Record>) -> View {
    let mut view = View::default();
    view.apply(Batch {
        is_snapshot: true,
        deltas: records.into_iter().map(Delta::Set).collect(),
        revision: Default::default(),
        commit: 1,
        cursor: Cursor::default(),
        age_ms: 0,
        held_ms: 0,
    })
    .unwrap();
    view
}
