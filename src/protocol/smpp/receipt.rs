//! Times and states as SMPP writes them, and the delivery receipt: the one final answer of a message.

use crate::interface::Nanos;
use crate::routing::transactions::{Ending, Transaction};
use crate::routing::End;
use rusmpp::pdus::{DeliverSm, SubmitSm};
use rusmpp::tlvs::MessageDeliveryRequestTlvValue;
use rusmpp::types::{COctetString, EmptyOrFullCOctetString, OctetString};
use rusmpp::values::{EsmClass, MessageState};
use time::{Date, Duration, Month, OffsetDateTime, PrimitiveDateTime, Time, UtcOffset};

const SEC: Nanos = 1_000_000_000;
/// `esm_class` of a delivery receipt.
const RECEIPT: u8 = 0x04;

/// `YYMMDDhhmmsstnnp`: until when a message may be delivered, `now` and the result being Unix time.
pub fn until(text: &str, now: Nanos) -> Option<Nanos> {
    let digits = text.get(..15).filter(|d| text.len() == 16 && d.bytes().all(|b| b.is_ascii_digit()))?;
    let two = |i: usize| digits[i..i + 2].parse::<u32>().ok();
    let fields: Vec<u32> = (0..6).map(|i| two(2 * i)).collect::<Option<_>>()?;
    let [years, months, days, hours, minutes, seconds] = fields[..] else { return None };
    let quarters: i32 = digits[13..].parse().ok()?;
    let sign = match text.as_bytes()[15] {
        b'R' => {
            let whole_days = u64::from(years) * 365 + u64::from(months) * 30 + u64::from(days);
            let of_day = u64::from(hours) * 3600 + u64::from(minutes) * 60 + u64::from(seconds);
            return Some(now.saturating_add((whole_days * 86_400 + of_day).saturating_mul(SEC)));
        }
        b'+' => 1,
        b'-' => -1,
        _ => return None,
    };
    // Two digits of the year: 00 to 37 are of this century.
    let year = if years < 38 { 2000 + years } else { 1900 + years };
    let month = Month::try_from(u8::try_from(months).ok()?).ok()?;
    let date = Date::from_calendar_date(year as i32, month, days as u8).ok()?;
    let at = Time::from_hms(hours as u8, minutes as u8, seconds as u8).ok()?;
    let offset = UtcOffset::from_whole_seconds(sign * quarters * 900).ok()?;
    let unix = PrimitiveDateTime::new(date, at).assume_offset(offset).unix_timestamp();
    Some(u64::try_from(unix).ok()?.saturating_mul(SEC))
}

fn utc(at: Nanos) -> OffsetDateTime {
    OffsetDateTime::UNIX_EPOCH + Duration::seconds((at / SEC) as i64)
}

/// The same as an absolute time.
pub fn absolute(at: Nanos) -> EmptyOrFullCOctetString<17> {
    let t = utc(at);
    let (year, month, day) = (t.year() % 100, u8::from(t.month()), t.day());
    let text = format!("{year:02}{month:02}{day:02}{:02}{:02}{:02}000+", t.hour(), t.minute(), t.second());
    EmptyOrFullCOctetString::from_string(text.to_string()).unwrap_or_default()
}

fn minute(at: Nanos) -> String {
    let t = utc(at);
    let (year, month, day) = (t.year() % 100, u8::from(t.month()), t.day());
    format!("{year:02}{month:02}{day:02}{:02}{:02}", t.hour(), t.minute())
}

/// The state of a message, and its name in a receipt's text.
pub fn state(t: &Transaction, now: Nanos) -> (MessageState, &'static str) {
    match t.ending {
        None => (MessageState::Enroute, "ENROUTE"),
        Some(Ending::Delivered) => (MessageState::Delivered, "DELIVRD"),
        Some(Ending::Undelivered(End::Returned { .. })) => (MessageState::Rejected, "REJECTD"),
        Some(Ending::Undelivered(End::Failed)) if t.may_have_run.or(t.out).is_some() => {
            (MessageState::Unknown, "UNKNOWN")
        }
        Some(Ending::Undelivered(End::Failed)) if t.reason == 0 && t.deadline <= now + SEC => {
            (MessageState::Expired, "EXPIRED")
        }
        Some(Ending::Undelivered(End::Failed)) => (MessageState::Undeliverable, "UNDELIV"),
    }
}

/// The receipt for a message that has its end. Its text says when to come back with one that was returned.
pub fn receipt(t: &Transaction, submit: &SubmitSm, now: Nanos) -> DeliverSm {
    let (state, name) = state(t, now);
    let delivered = u8::from(t.ending == Some(Ending::Delivered));
    let hint = match t.ending {
        Some(Ending::Undelivered(End::Returned { after })) if after > 0 => {
            format!("come back in {} ms", after.div_ceil(1_000_000))
        }
        _ => String::new(),
    };
    let text = format!(
        "id:{} sub:001 dlvrd:00{delivered} submit date:{} done date:{} stat:{name} err:{:03} text:{hint}",
        t.id,
        minute(t.taken_at),
        minute(now),
        t.reason.min(999)
    );
    let id = COctetString::from_string(t.id.clone()).unwrap_or_default();
    DeliverSm::builder()
        .source_addr_ton(submit.dest_addr_ton)
        .source_addr_npi(submit.dest_addr_npi)
        .source_addr(submit.destination_addr.clone())
        .dest_addr_ton(submit.source_addr_ton)
        .dest_addr_npi(submit.source_addr_npi)
        .destination_addr(submit.source_addr.clone())
        .esm_class(EsmClass::from(RECEIPT))
        .short_message(OctetString::from_string(text).unwrap_or_default())
        .push_tlv(MessageDeliveryRequestTlvValue::ReceiptedMessageId(id))
        .push_tlv(MessageDeliveryRequestTlvValue::MessageState(state))
        .build()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards deadlines: a validity period is the deadline, given as a span or as a moment anywhere.
    #[test]
    fn validity_periods_are_read_as_spans_and_moments() {
        let now = 1_796_000_000 * SEC;
        assert_eq!(until("000000000130000R", now), Some(now + 90 * SEC));
        assert_eq!(until("000001000000000R", now), Some(now + 86_400 * SEC));
        // 2026-12-01 10:38:00 UTC, as told in UTC and two hours east of it.
        assert_eq!(until("261201103800000+", now), Some(1_796_121_480 * SEC));
        assert_eq!(until("261201123800008+", now), Some(1_796_121_480 * SEC));
        assert_eq!(absolute(1_796_121_480 * SEC).to_string(), "261201103800000+");
        for bad in ["", "261201103800000", "261301103800000+", "26120110380000xR", "261201103800000?"] {
            assert_eq!(until(bad, now), None, "{bad}");
        }
    }
}
