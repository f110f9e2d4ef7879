//! Map in a sorted vector, the collection used throughout the replicated state.

use std::borrow::Borrow;

use serde::{Deserialize, Serialize};

/// `Table` maps keys to values in a vector sorted by key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table<K, V> {
    rows: Vec<(K, V)>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<K: Ord, V> Table<K, V> {
    /// Returns the index of a key, or as an error the index at which it would be inserted.
    fn position<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: Borrow<Q>,
    {
        self.rows.binary_search_by(|(k, _)| k.borrow().cmp(key))
    }

    /// Returns the value of a key.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.position(key).ok().map(|index| &self.rows[index].1)
    }

    /// Returns a key as stored, with its value.
    pub fn get_key_value<Q: Ord + ?Sized>(&self, key: &Q) -> Option<(&K, &V)>
    where
        K: Borrow<Q>,
    {
        let (key, value) = &self.rows[self.position(key).ok()?];
        Some((key, value))
    }

    /// Returns a mutable reference to the value of a key.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        self.position(key).ok().map(|index| &mut self.rows[index].1)
    }

    /// Returns whether a key is present.
    pub fn contains<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.position(key).is_ok()
    }

    /// Sets the value of a key and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.rows[index].1, value)),
            Err(index) => {
                self.rows.insert(index, (key, value));
                None
            }
        }
    }

    /// Returns the value of a key, inserting it first if it is missing.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let index = match self.position(&key) {
            Ok(index) => index,
            Err(index) => {
                self.rows.insert(index, (key, make()));
                index
            }
        };
        &mut self.rows[index].1
    }

    /// Removes a key and returns its value.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        self.position(key)
            .ok()
            .map(|index| self.rows.remove(index).1)
    }

    /// Removes the rows for which the predicate returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &V) -> bool) {
        self.rows.retain(|(key, value)| keep(key, value));
    }
}

impl<K, V> Table<K, V> {
    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Iterates over the rows in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.rows.iter().map(|(key, value)| (key, value))
    }

    /// Iterates over the rows in key order, with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Iterates over the keys in order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> + ExactSizeIterator {
        self.rows.iter().map(|(key, _)| key)
    }

    /// Iterates over the values in key order.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> + ExactSizeIterator {
        self.rows.iter().map(|(_, value)| value)
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for Table<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(rows: I) -> Self {
        let mut table = Self::default();
        for (key, value) in rows {
            table.insert(key, value);
        }
        table
    }
}
