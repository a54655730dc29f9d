//! What an answer reads like.

use hyper::header::CONNECTION;
use hyper::{HeaderMap, StatusCode};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The status of a delivery.
pub(super) const SUCCESS: u16 = 200;

/// What an answer reads like: two answers that read alike have equal fingerprints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint {
    status: u16,
    head: u64,
    whole: u64,
    /// The same as `whole`, but for what the answer says of its connection.
    content: u64,
}

impl Fingerprint {
    /// That of an answer with this head, and no body yet.
    pub fn of_head(status: StatusCode, headers: &HeaderMap) -> Fingerprint {
        let status = status.as_u16();
        let (mut head, mut content) = (u64::from(status), u64::from(status));
        for (name, value) in headers {
            for part in [name.as_str().as_bytes(), value.as_bytes()] {
                head = xxh3_64_with_seed(part, head);
                if name != CONNECTION {
                    content = xxh3_64_with_seed(part, content);
                }
            }
        }
        Fingerprint { status, head, whole: head, content }
    }

    /// That of the whole answer, with this body.
    pub fn with_body(self, body: &[u8]) -> Fingerprint {
        let whole = xxh3_64_with_seed(body, self.whole);
        Fingerprint { whole, content: xxh3_64_with_seed(body, self.content), ..self }
    }

    /// The answer's status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// What its head reads like.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// What all of it reads like.
    pub fn whole(&self) -> u64 {
        self.whole
    }

    /// What it reads like, whatever it says of its connection.
    pub fn content(&self) -> u64 {
        self.content
    }
}
