use std::fmt;
use std::sync::Arc;

use lentilcart_util::Map;

use super::{Account, AccountKey};

/// The client accounts of one version of the routes, by their keys.
///
/// Keys are secrets: the table holds a keyed hash of each, and the debug output does not contain them.
#[derive(Default)]
pub struct AccountTable {
    accounts: Vec<Arc<Account>>,
    by_key: Map<AccountKey, Arc<Account>>,
}

impl AccountTable {
    /// Creates a table of accounts and their keys. A key that two accounts have belongs to the last one.
    #[must_use]
    pub fn new(accounts: impl IntoIterator<Item = (Account, Vec<AccountKey>)>) -> Self {
        let mut table = Self::default();
        for (account, keys) in accounts {
            let account = Arc::new(account);
            let entries = keys.into_iter().map(|key| (key, account.clone()));
            table.by_key.extend(entries);
            table.accounts.push(account);
        }
        table
    }

    /// Returns whether there are no accounts, so that requests need no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the accounts, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.accounts.iter()
    }

    /// Returns the account that has a key.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&Arc<Account>> {
        self.find_hashed(AccountKey::new(key.as_bytes()))
    }

    /// Returns the account that has the key with this hash.
    #[must_use]
    pub fn find_hashed(&self, key: AccountKey) -> Option<&Arc<Account>> {
        self.by_key.get(&key)
    }
}

impl fmt::Debug for AccountTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("AccountTable")
            .field("accounts", &self.accounts)
            .finish_non_exhaustive()
    }
}
