//! What processes of version 1 hand over. They know of no attempts of messages that are over: they give up each call that has
//! one as they stop deciding.

use super::{Endpoints, Handover, OpenCall, RestingKey};
use crate::catalog::EndpointId;
use crate::decision::Knowledge;
use crate::interface::Nanos;
use crate::routing::values::{OpenAttempt, TransactionNo};
use serde::{Deserialize, Serialize};

/// Calls of one endpoint, with those of their messages that are owed their ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LegacyCall {
    endpoint: String,
    begun: Nanos,
    transactions: Vec<TransactionNo>,
}

/// A [`Handover`] of version 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LegacyHandover {
    unwritten: Vec<u8>,
    journal_bytes: u64,
    calls: Vec<LegacyCall>,
    knowledge: Knowledge,
    names: Vec<(EndpointId, String)>,
    keys: Vec<RestingKey>,
    delivered: Vec<String>,
    list: Endpoints,
}

impl From<Handover> for LegacyHandover {
    fn from(handover: Handover) -> LegacyHandover {
        let Handover { unwritten, journal_bytes, calls, knowledge, names, keys, delivered, list, .. } =
            handover;
        let calls = calls.into_iter().map(|OpenCall { endpoint, begun, attempts }| {
            let owed = attempts.iter().filter(|attempt| attempt.is_owed);
            LegacyCall { endpoint, begun, transactions: owed.map(|attempt| attempt.transaction).collect() }
        });
        let calls = calls.filter(|call| !call.transactions.is_empty()).collect();
        LegacyHandover { unwritten, journal_bytes, calls, knowledge, names, keys, delivered, list }
    }
}

impl From<LegacyHandover> for Handover {
    fn from(legacy: LegacyHandover) -> Handover {
        let LegacyHandover { unwritten, journal_bytes, calls, knowledge, names, keys, delivered, list } =
            legacy;
        let owed = |transaction| OpenAttempt { transaction, is_owed: true, lock: None };
        let calls = calls.into_iter().map(|LegacyCall { endpoint, begun, transactions }| {
            let attempts = transactions.into_iter().map(owed).collect();
            OpenCall { endpoint, begun, attempts }
        });
        Handover {
            unwritten,
            journal_bytes,
            calls: calls.collect(),
            knowledge,
            names,
            keys,
            has_lost_calls: true,
            delivered,
            list,
        }
    }
}
