//! Bills as they are recorded.

use super::messages::{BillRow, WarmPoolsResponse};
use crate::clients::StateStore;
use crate::wire::Item;
use badgerdrift_warm_pools::{BillRecord, RecordKey};

/// Seconds after which bills may be asked for again.
const RETRY_AFTER_S: u64 = 1;

/// Reads the bills of these days, of all teams or of one.
pub async fn read_bills(state: &StateStore, from: &str, to: &str, team: Option<&str>) -> WarmPoolsResponse {
    let Ok(items) = state.list(RecordKey::BILL_PREFIX).await else {
        return WarmPoolsResponse::RetryLater(RETRY_AFTER_S);
    };
    WarmPoolsResponse::Bill(items.into_iter().flat_map(|item| rows(item, from, to, team)).collect())
}

/// The rows of a record, if it is of these days and this team.
fn rows(item: Item, from: &str, to: &str, team: Option<&str>) -> Vec<BillRow> {
    let Some(RecordKey::Bill(day, payer)) = RecordKey::parse(&item.key) else { return Vec::new() };
    let day = day.to_string();
    // Dates in this form are in the order of time.
    if day.as_str() < from || day.as_str() > to || team.is_some_and(|team| team != payer) {
        return Vec::new();
    }
    let Ok(record) = serde_json::from_value::<BillRecord>(item.value) else { return Vec::new() };
    let row = |(pool, total)| BillRow { day: day.clone(), team: payer.clone(), pool, total };
    record.pools.into_iter().map(row).collect()
}
