//! Decodes a list while its bytes come: each entry is handed on as soon as it is whole, and nothing else is kept of
//! what was read. Members come in any order, with others among them that mean nothing here.

use super::entry::{whole_number, EntryFault, Fields, Member, Skipped, Value};
use super::fault::{Damage, ListFault, TOKEN_MOST};
use crate::catalog::{Endpoint, Names};
use actson::feeder::JsonFeeder;
use actson::options::JsonParserOptionsBuilder;
use actson::parser::ParserError;
use actson::{JsonEvent, JsonParser};
use bytes::Bytes;

/// Deeper than this nothing is nested.
const DEPTH_MOST: usize = 64;

/// What a list says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heading {
    /// Its version.
    pub seq: u64,
    /// It replaces all that was known.
    pub whole: bool,
    /// Its entries that could not be used.
    pub skipped: Skipped,
}

/// The bytes that are being parsed.
#[derive(Default)]
struct Piece {
    bytes: Bytes,
    read: usize,
}

impl JsonFeeder for Piece {
    fn has_input(&self) -> bool {
        self.read < self.bytes.len()
    }

    fn is_done(&self) -> bool {
        false
    }

    fn next_input(&mut self) -> Option<u8> {
        let byte = self.bytes.get(self.read).copied();
        self.read += usize::from(byte.is_some());
        byte
    }
}

/// A member of the list itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Top {
    Seq,
    Whole,
    Hosts,
    Other,
}

/// Where in the text the parser is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    /// Before the list.
    Before,
    /// Among its members, at this one.
    Top(Top),
    /// Among its entries.
    Hosts,
    /// In an entry, at this member.
    Entry(Option<Member>),
    /// After the list.
    After,
}

/// Decodes one list from pieces of any size.
pub struct Decoder<'n> {
    parser: JsonParser<Piece>,
    names: &'n Names,
    at: At,
    /// Arrays and objects that are open around what is skipped.
    ignoring: usize,
    fields: Fields,
    seq: Option<u64>,
    whole: Option<bool>,
    hosts: bool,
    listed: usize,
    skipped: Skipped,
    /// Bytes before the last token.
    token: usize,
}

impl<'n> Decoder<'n> {
    /// For a list whose kinds and zones have these names.
    pub fn new(names: &'n Names) -> Self {
        let options = JsonParserOptionsBuilder::default().with_max_depth(DEPTH_MOST).build();
        Decoder {
            parser: JsonParser::new_with_options(Piece::default(), options),
            names,
            at: At::Before,
            ignoring: 0,
            fields: Fields::default(),
            seq: None,
            whole: None,
            hosts: false,
            listed: 0,
            skipped: Skipped::default(),
            token: 0,
        }
    }

    /// Bytes that were parsed.
    pub fn offset(&self) -> u64 {
        self.parser.parsed_bytes() as u64
    }

    /// Parses a piece and hands on the entries that it completes.
    pub fn feed(&mut self, bytes: Bytes, entry: &mut impl FnMut(Endpoint)) -> Result<(), ListFault> {
        self.parser.feeder = Piece { bytes, read: 0 };
        loop {
            match self.parser.next_event() {
                Ok(None | Some(JsonEvent::NeedMoreInput)) => break,
                Ok(Some(event)) => {
                    let token = self.parser.parsed_bytes();
                    self.not_too_long(token)?;
                    self.token = token;
                    self.event(event, entry).map_err(|damage| self.damaged(damage))?;
                }
                Err(ParserError::IllegalInput(_) | ParserError::SyntaxError | ParserError::NoMoreInput) => {
                    return Err(self.damaged(Damage::Syntax));
                }
            }
        }
        self.parser.feeder = Piece::default();
        self.not_too_long(self.parser.parsed_bytes())
    }

    fn not_too_long(&self, until: usize) -> Result<(), ListFault> {
        let fits = until - self.token <= TOKEN_MOST;
        fits.then_some(()).ok_or(ListFault::Damaged { offset: self.token as u64, damage: Damage::TooLong })
    }

    /// At the byte that was parsed last.
    fn damaged(&self, damage: Damage) -> ListFault {
        ListFault::Damaged { offset: self.offset().saturating_sub(1), damage }
    }

    /// The bytes are over: the list is whole, or it cannot be used.
    pub fn finish(self) -> Result<Heading, ListFault> {
        let offset = self.offset();
        if self.at != At::After {
            return Err(ListFault::Cut { offset });
        }
        let damaged = |damage| ListFault::Damaged { offset, damage };
        let seq = self.seq.ok_or(damaged(Damage::Missing("seq")))?;
        let whole = self.whole.ok_or(damaged(Damage::Missing("whole")))?;
        if whole && !self.hosts {
            return Err(damaged(Damage::Missing("hosts")));
        }
        if whole && self.listed > 0 && self.skipped.count == self.listed {
            return Err(damaged(Damage::NoneUsable));
        }
        Ok(Heading { seq, whole, skipped: self.skipped })
    }

    fn event(&mut self, event: JsonEvent, entry: &mut impl FnMut(Endpoint)) -> Result<(), Damage> {
        if self.ignoring > 0 {
            return self.ignore(event);
        }
        match self.at {
            At::Before => {
                self.at = At::Top(Top::Other);
                (event == JsonEvent::StartObject).then_some(()).ok_or(Damage::NotAnObject)
            }
            At::Top(member) => self.top(member, event),
            At::Hosts => self.host(event),
            At::Entry(member) => self.member(member, event, entry),
            // The parser lets nothing but blanks follow.
            At::After => Err(Damage::Syntax),
        }
    }

    fn ignore(&mut self, event: JsonEvent) -> Result<(), Damage> {
        match event {
            JsonEvent::StartObject | JsonEvent::StartArray => self.ignoring += 1,
            JsonEvent::EndObject | JsonEvent::EndArray => self.ignoring -= 1,
            JsonEvent::FieldName | JsonEvent::ValueString => drop(self.text()?),
            _ => {}
        }
        Ok(())
    }

    /// In the list itself.
    fn top(&mut self, member: Top, event: JsonEvent) -> Result<(), Damage> {
        match (event, member) {
            (JsonEvent::EndObject, _) => self.at = At::After,
            (JsonEvent::FieldName, _) => {
                self.at = At::Top(match self.text()? {
                    "seq" => Top::Seq,
                    "whole" => Top::Whole,
                    "hosts" => Top::Hosts,
                    _ => Top::Other,
                });
            }
            (JsonEvent::StartArray, Top::Hosts) if !self.hosts => {
                self.hosts = true;
                self.at = At::Hosts;
            }
            (JsonEvent::ValueInt | JsonEvent::ValueFloat, Top::Seq) => {
                self.seq = Some(self.number().and_then(whole_number).ok_or(Damage::Wrong("seq"))?);
            }
            (JsonEvent::ValueTrue, Top::Whole) => self.whole = Some(true),
            (JsonEvent::ValueFalse, Top::Whole) => self.whole = Some(false),
            (JsonEvent::ValueNull, _) => {}
            (_, Top::Seq) => return Err(Damage::Wrong("seq")),
            (_, Top::Whole) => return Err(Damage::Wrong("whole")),
            (_, Top::Hosts) => return Err(Damage::Wrong("hosts")),
            (JsonEvent::StartObject | JsonEvent::StartArray, Top::Other) => self.ignoring = 1,
            (JsonEvent::ValueString, Top::Other) => drop(self.text()?),
            _ => {}
        }
        Ok(())
    }

    /// Among the entries.
    fn host(&mut self, event: JsonEvent) -> Result<(), Damage> {
        match event {
            JsonEvent::EndArray => {
                self.at = At::Top(Top::Other);
                return Ok(());
            }
            JsonEvent::StartObject => {
                self.fields = Fields::default();
                self.at = At::Entry(None);
            }
            _ => {
                self.skipped.add(None, self.listed, EntryFault::NotAnObject);
                self.ignoring = usize::from(event == JsonEvent::StartArray);
            }
        }
        self.listed += 1;
        Ok(())
    }

    /// In an entry.
    fn member(
        &mut self,
        member: Option<Member>,
        event: JsonEvent,
        entry: &mut impl FnMut(Endpoint),
    ) -> Result<(), Damage> {
        match event {
            JsonEvent::EndObject => {
                self.at = At::Hosts;
                self.complete(entry);
                return Ok(());
            }
            JsonEvent::FieldName => {
                self.at = At::Entry(Member::named(self.text()?));
                return Ok(());
            }
            JsonEvent::StartObject | JsonEvent::StartArray => self.ignoring = 1,
            _ => {}
        }
        let value = match event {
            JsonEvent::ValueString => Value::Text(text(&self.parser)?),
            JsonEvent::ValueInt | JsonEvent::ValueFloat if member.is_some() => {
                Value::Number(self.number().ok_or(Damage::Syntax)?)
            }
            JsonEvent::ValueTrue => Value::Flag(true),
            JsonEvent::ValueFalse => Value::Flag(false),
            JsonEvent::StartObject | JsonEvent::StartArray => Value::Nested,
            _ => Value::Null,
        };
        if let Some(member) = member {
            self.fields.take(member, value, self.names);
        }
        Ok(())
    }

    fn complete(&mut self, entry: &mut impl FnMut(Endpoint)) {
        let fields = std::mem::take(&mut self.fields);
        if let Some(endpoint) = fields.complete(self.listed - 1, &mut self.skipped) {
            entry(endpoint);
        }
    }

    fn text(&self) -> Result<&str, Damage> {
        text(&self.parser)
    }

    fn number(&self) -> Option<f64> {
        self.parser.current_float().ok()
    }
}

fn text(parser: &JsonParser<Piece>) -> Result<&str, Damage> {
    parser.current_str().map_err(|_| Damage::Encoding)
}
