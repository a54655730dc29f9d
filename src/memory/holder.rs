//! What bytes are held for.

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// Files of the lasting folder, which count as memory, and records that could not be written yet.
    Journal = 0,
    /// Messages that were taken on and are not over.
    Messages,
    /// Ids of messages that are over.
    Ids,
    /// Buffers of connections to clients and endpoints.
    Connections,
    /// Answers of endpoints that are being read.
    Answers,
    /// Bodies that known clients are sending, or that wait for another process.
    KnownBodies,
    /// The same of other clients.
    OtherBodies,
}

/// How many holders there are.
pub const HOLDERS: usize = 7;

impl Holder {
    /// All of them, in the order of their numbers.
    pub const ALL: [Holder; HOLDERS] = [
        Holder::Journal,
        Holder::Messages,
        Holder::Ids,
        Holder::Connections,
        Holder::Answers,
        Holder::KnownBodies,
        Holder::OtherBodies,
    ];

    /// Its name in the log and at the console.
    pub fn name(self) -> &'static str {
        match self {
            Holder::Journal => "journal",
            Holder::Messages => "messages",
            Holder::Ids => "ids",
            Holder::Connections => "connections",
            Holder::Answers => "answers",
            Holder::KnownBodies => "known-bodies",
            Holder::OtherBodies => "other-bodies",
        }
    }
}
