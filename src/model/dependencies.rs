//! Dependencies of a job: the jobs that it waits for.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Separator of the ids in a record. No id contains it.
const SEPARATOR: char = ' ';

/// Distinct ids of the jobs that must be done before a job starts. They are serialised as one string,
/// which is shorter than a list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Dependencies(Vec<String>);

impl Dependencies {
    /// Creates dependencies from these ids. Repeated ids are dropped.
    pub fn new(ids: impl IntoIterator<Item = String>) -> Dependencies {
        let mut seen = std::collections::HashSet::new();
        Dependencies(ids.into_iter().filter(|id| seen.insert(id.clone())).collect())
    }

    /// Returns whether the job waits for no other job.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns an iterator over the ids, in the order in which they were given.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }

    /// Returns whether the job waits for the job with this id.
    pub fn contains(&self, id: &str) -> bool {
        self.0.iter().any(|dependency| dependency == id)
    }

    /// Removes the ids for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.0.retain(|id| keep(id));
    }
}

impl Serialize for Dependencies {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0.join(&SEPARATOR.to_string()))
    }
}

impl<'de> Deserialize<'de> for Dependencies {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Dependencies, D::Error> {
        let ids = String::deserialize(deserializer)?;
        Ok(Dependencies::new(ids.split(SEPARATOR).filter(|id| !id.is_empty()).map(String::from)))
    }
}
