use lentilcart_util::Name;

/// Client account: whose requests a key allows, how urgent they are and how many are allowed.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name of the account, which servers are told; valid as the value of a header.
    pub name: Name,
    /// Dispatch rank of the account's requests, which takes precedence over that of the route; 0 is dispatched
    /// first. `None` where the route's rank counts.
    pub rank: Option<u8>,
    /// Limit on the account's requests at all entries together; `None` for no limit.
    pub limit: Option<AccountLimit>,
}

/// Limit on the requests of an account at all entries together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}
