//! Records in the state service as version 0.2.0 wrote them, byte for byte.
//!
//! Each recorded value is read as its type and written again, and the text must be the same. This finds each field or
//! variant that is spelled differently in the record, regardless of its name in Rust. Keys are compared
//! with literals.

use badgerdrift::configuration::{AppliedConfiguration, LogEntry, applied_configuration_change};
use badgerdrift::control::membership::{FENCING_TOKEN_KEY, FencingTokenRecord, PartitionRecord, partition_key};
use badgerdrift::control::partition::{JOB_PREFIX, host_key, inbox_key, job_key};
use badgerdrift::control::partition_leader::INSTANCE_TYPES_KEY;
use badgerdrift::model::{HostRecord, InstanceType, JobRecord};
use badgerdrift_borrowing::{JobLoans, LOAN_PREFIX, loan_key};
use badgerdrift_fleet_config::{Acceptor, Confirmations, VersionedDocument};
use badgerdrift_warm_pools::{BillRecord, RecordKey, SlotRecord, StoredRecord};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeMap;

const RECORDS: &str = include_str!("../data/v0.2.0/records.txt");

/// Number of records of each kind, by the beginning of their keys.
const RECORD_COUNTS: [(&str, usize); 11] = [
    ("config/doc", 2),
    ("config/log", 1),
    ("config/obeyed", 1),
    ("config/region", 1),
    ("flavors", 2),
    ("host", 3),
    ("job", 4),
    ("loan", 1),
    ("part", 1),
    ("pool/bill", 1),
    ("pool/slot", 2),
];
const TERM_RECORD_COUNT: usize = 1;

/// Returns the recorded keys and the texts of their values.
fn recorded() -> Vec<(&'static str, &'static str)> {
    RECORDS.lines().map(|line| line.split_once(' ').unwrap()).collect()
}

/// Returns the text of the record under this key.
fn text_of(key: &str) -> &'static str {
    recorded().into_iter().find(|(recorded, _)| *recorded == key).unwrap().1
}

/// Returns the kind of record that a key belongs to.
fn kind_of(key: &str) -> String {
    let parts = if key.starts_with("config/") || key.starts_with("pool/") { 2 } else { 1 };
    key.split('/').take(parts).collect::<Vec<_>>().join("/")
}

/// Reads a value as this version does and writes it again, as it goes to the state service.
fn rewritten<T: DeserializeOwned + Serialize>(text: &str) -> String {
    let value: Value = serde_json::from_str(text).unwrap();
    serde_json::to_value(serde_json::from_value::<T>(value).unwrap()).unwrap().to_string()
}

/// Writes the region's record again, part by part.
fn rewritten_region(text: &str) -> String {
    let mut value: Value = serde_json::from_str(text).unwrap();
    let acceptor: Acceptor = serde_json::from_value(value["acceptor"].take()).unwrap();
    let confirmations: Confirmations = serde_json::from_value(value["confirmations"].take()).unwrap();
    value["acceptor"] = serde_json::to_value(acceptor).unwrap();
    value["confirmations"] = serde_json::to_value(confirmations).unwrap();
    value.to_string()
}

#[test]
fn records_of_0_2_0_are_read_and_written_again_byte_for_byte() {
    for (key, text) in recorded() {
        let again = match kind_of(key).as_str() {
            "job" => rewritten::<JobRecord>(text),
            "host" => rewritten::<HostRecord>(text),
            "part" => rewritten::<PartitionRecord>(text),
            "term" => rewritten::<FencingTokenRecord>(text),
            "flavors" => rewritten::<Vec<InstanceType>>(text),
            "pool/slot" => rewritten::<SlotRecord>(text),
            "pool/bill" => rewritten::<BillRecord>(text),
            "loan" => rewritten::<JobLoans>(text),
            "config/doc" => rewritten::<VersionedDocument>(text),
            "config/log" => rewritten::<LogEntry>(text),
            "config/obeyed" => rewritten::<AppliedConfiguration>(text),
            "config/region" => rewritten_region(text),
            other => panic!("unknown kind of record: {other}"),
        };
        assert_eq!(again, text, "{key}");
    }
}

#[test]
fn each_kind_of_record_is_recorded() {
    let mut counts = BTreeMap::<String, usize>::new();
    for (key, _) in recorded() {
        *counts.entry(kind_of(key)).or_default() += 1;
    }
    let expected = RECORD_COUNTS.into_iter().chain([("term", TERM_RECORD_COUNT)]);
    assert_eq!(counts, expected.map(|(kind, count)| (kind.to_string(), count)).collect());
}

#[test]
fn records_of_warm_pools_are_distinguished_by_their_form() {
    let stored = |key: &str| serde_json::from_str::<StoredRecord>(text_of(key)).unwrap();
    assert!(matches!(stored("pool/slot/7"), StoredRecord::Slot(_)));
    assert!(matches!(stored("pool/slot/8"), StoredRecord::Slot(_)));
    assert!(matches!(stored("pool/bill/2026-12-02/red"), StoredRecord::Bill(_)));
    for key in ["pool/slot/7", "pool/slot/8", "pool/bill/2026-12-02/red"] {
        assert_eq!(rewritten::<StoredRecord>(text_of(key)), text_of(key), "{key}");
    }
}

#[test]
fn keys_are_spelled_as_in_0_2_0() {
    assert_eq!((JOB_PREFIX, job_key("run-000011").as_str()), ("job/", "job/run-000011"));
    assert_eq!(host_key("host-000001"), "host/host-000001");
    assert_eq!(inbox_key(3, "run-000011"), "in/3/run-000011");
    assert_eq!((FENCING_TOKEN_KEY, partition_key(3).as_str()), ("term", "part/3"));
    assert_eq!(INSTANCE_TYPES_KEY, "flavors");
    assert_eq!((LOAN_PREFIX, loan_key("run-000011").as_str()), ("loan/", "loan/run-000011"));
    assert_eq!((RecordKey::SLOT_PREFIX, RecordKey::BILL_PREFIX), ("pool/slot/", "pool/bill/"));
    assert_eq!(RecordKey::Slot(7).path(), "pool/slot/7");
    let bill = RecordKey::parse("pool/bill/2026-12-02/red").unwrap();
    assert_eq!(bill.path(), "pool/bill/2026-12-02/red");
}

#[test]
fn the_configuration_that_a_regions_leader_applies_is_written_as_in_0_2_0() {
    let text = text_of("config/obeyed");
    let change = applied_configuration_change(&serde_json::from_str(text).unwrap());
    assert_eq!(change.to_string(), format!("{{\"data\":{text},\"put\":\"config/obeyed\"}}"));
}
