use lentilcart_util::common;

use super::{Account, AccountKey, RouteTable};

common! { value,
    /// Whether a request that an account's key allowed when it arrived is still allowed by the routes in force.
    pub enum KeyState {
        /// The account still has the key, or the request needs no key now.
        Held,
        /// Another account has the key now.
        Moved,
        /// No account has the key now.
        Removed,
    }
}

impl RouteTable {
    /// Returns whether a request to a host and a path, which `account` was found for by its key, is still
    /// allowed by these routes.
    #[must_use]
    pub fn get_key_state(
        &self,
        key: AccountKey,
        account: &Account,
        host: &str,
        path: &str,
    ) -> KeyState {
        let is_public = || {
            let route = self.find_route(host, path);
            route.is_some_and(|route| route.public)
        };
        match self.accounts.find_hashed(key) {
            Some(holder) if holder.name == account.name => KeyState::Held,
            _ if self.accounts.is_empty() || is_public() => KeyState::Held,
            Some(_) => KeyState::Moved,
            None => KeyState::Removed,
        }
    }
}
