//! Reads of the recorded bills.

use super::messages::{BillRow, WarmPoolsResponse};
use crate::clients::StateStore;
use crate::wire::KeyValue;
use badgerdrift_warm_pools::{BillRecord, RecordKey};

/// Seconds after which a request for bills may be repeated.
const RETRY_AFTER_S: u64 = 1;

/// Reads the bills from the first to the last of these days, of all teams or of one. Returns
/// [`WarmPoolsResponse::RetryLater`] if the state service does not answer.
pub async fn read_bills(state: &StateStore, from: &str, to: &str, team: Option<&str>) -> WarmPoolsResponse {
    let Ok(items) = state.list(RecordKey::BILL_PREFIX).await else {
        return WarmPoolsResponse::RetryLater(RETRY_AFTER_S);
    };
    WarmPoolsResponse::Bill(items.into_iter().flat_map(|item| matching_rows(item, from, to, team)).collect())
}

/// Returns the rows of a record; none if it is of another day or team, or unreadable.
fn matching_rows(item: KeyValue, from: &str, to: &str, team: Option<&str>) -> Vec<BillRow> {
    let Some(RecordKey::Bill(day, payer)) = RecordKey::parse(&item.key) else { return Vec::new() };
    let day = day.to_string();
    // The text order of dates in this form is their order in time.
    if day.as_str() < from || day.as_str() > to || team.is_some_and(|team| team != payer) {
        return Vec::new();
    }
    let Ok(record) = serde_json::from_value::<BillRecord>(item.value) else { return Vec::new() };
    let row = |(pool, total)| BillRow { day: day.clone(), team: payer.clone(), pool, total };
    record.pools.into_iter().map(row).collect()
}
