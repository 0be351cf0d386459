//! Emulation of controllers of the version in production towards other controllers and the state
//! service.
//!
//! Such a controller runs the code of this version. Everything exchanged with it is converted to the
//! form of the version in production: frames lose the field `format`, and records lose the fields that
//! version does not know. A message that it could not read, or would misunderstand, breaks a rule.

use crate::production_format as production;
use ciborium::Value as Cbor;
use serde::Deserialize;
use serde_json::Value;

/// Port at which controllers serve each other.
pub const INTERNAL_PORT: u16 = 81;

/// Size of a frame's length field, in bytes.
const LENGTH_BYTES: usize = 4;

/// Converts the frames of one write between a controller of the version in production and another one.
///
/// # Errors
///
/// The broken rule, if a frame is incomplete or [`production_frame`] fails.
pub fn production_frames(mut written: &[u8]) -> Result<Vec<u8>, String> {
    let mut out = Vec::new();
    while let Some((length, rest)) = written.split_first_chunk::<LENGTH_BYTES>() {
        let length = u32::from_be_bytes(*length) as usize;
        if rest.len() < length {
            break;
        }
        let (frame, next) = written.split_at(LENGTH_BYTES + length);
        out.extend(production_frame(frame)?);
        written = next;
    }
    if written.is_empty() { Ok(out) } else { Err("write ends within a frame".into()) }
}

/// Converts a frame between a controller of the version in production and another one.
///
/// # Errors
///
/// The broken rule, if the version in production cannot read the frame or would misunderstand it.
pub fn production_frame(frame: &[u8]) -> Result<Vec<u8>, String> {
    let body = &frame[LENGTH_BYTES..];
    let request = ciborium::from_reader::<production::Numbered<production::PeerRequest>, _>(body);
    let response = ciborium::from_reader::<production::Numbered<production::PeerResponse>, _>(body);
    if let Ok(production::Numbered {
        body: production::PeerRequest::User { call: production::UserCall::Submit(submission), .. },
        ..
    }) = &request
        && waits(&serde_json::from_slice(submission).unwrap_or_default())
    {
        return Err("submission of a job with dependencies passed to an owner of the version in production, which would start it at once".into());
    }
    if request.is_err() && response.is_err() {
        return Err(format!("frame unreadable for the version in production: {:?}", response.err()));
    }
    let Ok(Cbor::Map(entries)) = ciborium::from_reader(body) else { return Err("frame body is not a map".into()) };
    let known = entries.into_iter().filter(|(name, _)| *name != Cbor::Text("format".into())).collect();
    let mut out = vec![0; LENGTH_BYTES];
    ciborium::into_writer(&Cbor::Map(known), &mut out).unwrap();
    let length = (out.len() - LENGTH_BYTES) as u32;
    out[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(out)
}

/// Removes from job records the fields that the version in production does not know.
///
/// # Errors
///
/// The broken rule, if that version cannot read the remaining fields.
pub fn production_records(value: &mut Value) -> Result<(), String> {
    match value {
        Value::Array(values) => values.iter_mut().try_for_each(production_records),
        Value::Object(fields) => {
            if fields.contains_key("spec") {
                fields["spec"].as_object_mut().unwrap().remove("waits_on");
                if let Err(e) = production::JobRecord::deserialize(&*value) {
                    return Err(format!("record unreadable for the version in production: {e}: {value}"));
                }
                return Ok(());
            }
            fields.values_mut().try_for_each(production_records)
        }
        _ => Ok(()),
    }
}

/// Returns whether a submission names jobs that it waits for.
fn waits(submission: &Value) -> bool {
    submission["waits_on"].as_array().is_some_and(|ids| !ids.is_empty())
}
