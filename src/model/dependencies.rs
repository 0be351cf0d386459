//! The jobs that a job waits for.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Separates ids in a record; no id contains it.
const SEPARATOR: char = ' ';

/// Ids of the jobs that have to be done before a job starts, each one once. A record holds
/// them as one text, which takes less room than a list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Dependencies(Vec<String>);

impl Dependencies {
    /// These ids; one that is given again counts once.
    pub fn new(ids: impl IntoIterator<Item = String>) -> Dependencies {
        let mut seen = std::collections::HashSet::new();
        Dependencies(ids.into_iter().filter(|id| seen.insert(id.clone())).collect())
    }

    /// Does the job wait for none?
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The ids, in the order in which they were given.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }

    /// Does the job wait for the one with this id?
    pub fn contains(&self, id: &str) -> bool {
        self.0.iter().any(|own| own == id)
    }

    /// Leaves out the ids for which `keep` is false.
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
