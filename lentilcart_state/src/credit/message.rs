use lentilcart_util::{Micros, Name, common};

use super::GroupSet;

common! { message,
    /// A point in time of an owner, by its own clock. An owner that was restarted has another number.
    #[derive(Copy, Eq)]
    pub struct OwnerStamp {
        /// Number of the process, drawn at its start.
        pub process: u64,
        /// Time by the owner's clock.
        pub time: Micros,
    }
}

common! { message,
    /// What an entry tells an owner: the delegation of its share, and what credit it has and wants.
    pub struct CreditAsk {
        /// Name of the entry.
        #[serde(rename = "n")]
        pub name: Name,
        /// Time of sending by the entry's clock; later messages have higher ones.
        #[serde(rename = "t")]
        pub sent: Micros,
        /// Number of the entry's process.
        #[serde(rename = "p")]
        pub process: u64,
        /// Stamp of the owner's latest reply that arrived.
        #[serde(rename = "e", default)]
        pub echo: Option<OwnerStamp>,
        /// Share that is delegated, from 0 to 1.
        #[serde(rename = "s", default)]
        pub share: f64,
        /// Groups for which it is delegated.
        #[serde(rename = "g", default)]
        pub groups: GroupSet,
        /// Groups whose delegation, made earlier, is neither extended nor ended.
        #[serde(rename = "k", default)]
        pub kept: GroupSet,
        /// Revision of the store at which the entry is registered; 0 if it is not.
        #[serde(rename = "c", default)]
        pub registered: u64,
        /// Accounts with credit or demand.
        #[serde(rename = "i", default)]
        pub items: Vec<CreditAskItem>,
    }
}

common! { message,
    /// Account for which credit is held, wanted or returned.
    pub struct CreditAskItem {
        /// Name of the account.
        #[serde(rename = "a")]
        pub account: Name,
        /// Requests for which credit is wanted.
        #[serde(rename = "w")]
        pub wanted: f64,
        /// Requests for which there is credit of this owner that may still be used, or was taken by
        /// requests that may not have run yet.
        #[serde(rename = "h")]
        pub held: f64,
        /// Requests for which credit of this owner is given back unused.
        #[serde(rename = "r", default)]
        pub returned: f64,
    }
}

common! { message,
    /// An owner's reply to a [`CreditAsk`].
    pub struct CreditReply {
        /// Name of the owner.
        #[serde(rename = "n")]
        pub name: Name,
        /// [`CreditAsk::sent`] of the message that is answered.
        #[serde(rename = "t")]
        pub ask_sent: Micros,
        /// When it was answered.
        #[serde(rename = "o")]
        pub stamp: OwnerStamp,
        /// [`CreditAsk::registered`] of the message, if the owner counts the entry among the registered ones;
        /// else 0.
        #[serde(rename = "c", default)]
        pub counted: u64,
        /// Whether the owner is leaving, so that shares have to be delegated to another.
        #[serde(rename = "l", default)]
        pub leaving: bool,
        /// Accounts for which credit was wanted.
        #[serde(rename = "i", default)]
        pub items: Vec<CreditReplyItem>,
    }
}

common! { message,
    /// Credit that is granted for an account.
    pub struct CreditReplyItem {
        /// Name of the account.
        #[serde(rename = "a")]
        pub account: Name,
        /// Requests for which credit is granted; a whole number.
        #[serde(rename = "g")]
        pub granted: f64,
        /// Time after which there is credit for another request; `None` if the owner has no share.
        #[serde(rename = "r", default)]
        pub credit_after: Option<Micros>,
        /// Part of the limit that the owner grants, from 0 to 1.
        #[serde(rename = "s", default)]
        pub share: f64,
    }
}
