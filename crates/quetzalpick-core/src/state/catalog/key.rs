//! Callers' keys, indexed by name and by digest.

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::id::{KeyName, Workspace};
use crate::record::{Digest, Key};
use crate::state::outcome::{Reason, conflict, unknown};
use crate::table::Table;

/// `Keys` stores keys by name with an index by digest; the index is rebuilt on decoding.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Table<KeyName, Key>", into = "Table<KeyName, Key>")]
pub(crate) struct Keys {
    by_name: Table<KeyName, Key>,
    by_digest: Table<Digest, KeyName>,
}

impl From<Table<KeyName, Key>> for Keys {
    fn from(by_name: Table<KeyName, Key>) -> Self {
        let rows = by_name.iter().map(|(name, key)| (key.digest, name.clone()));
        let by_digest = rows.collect();
        Self { by_name, by_digest }
    }
}

impl From<Keys> for Table<KeyName, Key> {
    fn from(keys: Keys) -> Self {
        keys.by_name
    }
}

impl Keys {
    /// Returns the keys by name.
    pub(crate) fn by_name(&self) -> &Table<KeyName, Key> {
        &self.by_name
    }

    /// Returns the key with a digest; the digests are compared in constant time after the lookup.
    pub(crate) fn find(&self, digest: &Digest) -> Option<(&KeyName, &Key)> {
        let name = self.by_digest.get(digest)?;
        let (name, key) = self.by_name.get_key_value(name)?;
        let same = bool::from(key.digest.0.ct_eq(&digest.0));
        same.then_some((name, key))
    }

    /// Adds a key; its name and digest must not be in use.
    pub(crate) fn add(&mut self, name: &KeyName, key: &Key) -> Result<(), Reason> {
        if self.by_name.contains(name) {
            return Err(conflict(format!("key {name} exists")));
        }
        if let Some(other) = self.by_digest.get(&key.digest) {
            return Err(conflict(format!("key {other} has the same digest")));
        }
        self.by_digest.insert(key.digest, name.clone());
        self.by_name.insert(name.clone(), key.clone());
        Ok(())
    }

    /// Removes a key.
    pub(crate) fn withdraw(&mut self, name: &KeyName) -> Result<(), Reason> {
        let key = self.by_name.remove(name);
        let key = key.ok_or_else(|| unknown("key", name))?;
        self.by_digest.remove(&key.digest);
        Ok(())
    }

    /// Removes all keys of a workspace.
    pub(crate) fn withdraw_all(&mut self, workspace: &Workspace) {
        self.by_name.retain(|_, key| key.workspace != *workspace);
        let by_name = &self.by_name;
        self.by_digest.retain(|_, name| by_name.contains(name));
    }
}
