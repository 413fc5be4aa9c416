//! Records of a store value that can't be used.

use crate::LedgerPartition;

/// A record that can't be used, because something other than an owner wrote it.
///
/// It is kept in the store value unchanged. Its work may have run, so that its key is not admitted
/// again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableRecord {
    /// Customer of the record, or `None` if it shows none.
    pub customer: Option<String>,
    /// Key of the record, or `None` if it shows none.
    pub key: Option<String>,
    /// JSON text of the record.
    pub text: String,
    /// Why the record can't be used.
    pub cause: String,
}

impl UnreadableRecord {
    /// Returns whether this may be the record of a key.
    fn may_belong_to(&self, customer: &str, key: &str) -> bool {
        let may_be = |shown: &Option<String>, name| shown.as_ref().is_none_or(|it| it == name);
        may_be(&self.customer, customer) && may_be(&self.key, key)
    }
}

impl LedgerPartition {
    /// Returns the records that can't be used.
    pub fn unreadable(&self) -> &[UnreadableRecord] {
        &self.unreadable
    }

    /// Returns whether a key without a record may have one that can't be used. It must not count as
    /// unknown, since its work may have run.
    pub fn may_have_unreadable(&self, customer: &str, key: &str) -> bool {
        let mut unreadable = self.unreadable.iter();
        unreadable.any(|record| record.may_belong_to(customer, key))
    }
}
