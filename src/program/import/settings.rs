//! Settings of a relay that takes the place of an nginx: one relay, one zone, one kind of endpoint, no reports.

use crate::configuration::settings::*;
use crate::configuration::value::{Figure, Positive, Share, SomeShare, Whole, Word};

/// The name of the one zone.
pub const ZONE: &str = "here";
/// The name of the one kind of endpoint.
pub const KIND: &str = "upstream";
/// Nanoseconds of a millisecond.
const MS: u64 = 1_000_000;
/// Messages that may be held, for each call that may be out.
const OPEN_FOR_EACH_CALL: u64 = 8;

/// What upstreams and locations say.
pub struct UpstreamSettings {
    /// Calls that may be out at once.
    pub calls_out: u64,
    /// For a connection to come up, in milliseconds.
    pub connect_timeout_ms: u64,
    /// For a connection to wait for a next call, in milliseconds.
    pub keepalive_ms: u64,
    /// Attempts of a request.
    pub most_tries: u64,
    /// A class for each location.
    pub services: Vec<ServiceForm>,
}

/// A class for a location.
pub fn service(name: &str, aim_ms: u64, deadline_ms: u64, repeat: RepeatForm) -> ServiceForm {
    ServiceForm {
        aim: Whole::clamped(aim_ms * MS),
        aim_stretch: None,
        deadline: Whole::clamped(deadline_ms * MS),
        group: GroupForm::All,
        importance: Figure::clamped(1.0),
        in_order: None,
        late_worth: Share::clamped(0.4),
        memory_span: Whole::clamped(0),
        name: Word::from(name.to_string()),
        repeat,
        stream: false,
    }
}

/// The settings of a relay with these upstreams.
pub fn of_upstreams(upstreams: UpstreamSettings) -> SettingsForm {
    let none = Figure::clamped(0.0);
    SettingsForm {
        azs: vec![ZONE.to_string()],
        callers: CallersForm { marks_retry: false },
        discovery: DiscoveryForm::Push,
        domain: DomainForm {
            calls_out: Whole::clamped(upstreams.calls_out),
            late: LateForm::Even,
            notes: String::new(),
            per_call: vec![Whole::clamped(1)],
            report_x0: String::new(),
            report_x1: String::new(),
            route_fee: vec![none],
            separate_routes: vec![true],
            turned_away_price: none,
        },
        family: FamilyForm::Deliver,
        fleet_size: Whole::clamped(1),
        goal: GoalForm {
            whole: Share::clamped(1.0),
            worst_class: Share::clamped(0.0),
            worst_tenant: Share::clamped(0.0),
            worst_window: Share::clamped(0.0),
        },
        kinds: vec![KIND.to_string()],
        layers: vec![KIND.to_string()],
        limits: SiteLimitsForm {
            cancel: true,
            connect_timeout: Whole::clamped(upstreams.connect_timeout_ms * MS),
            cpu_us_per_request: none,
            cpu_us_per_s: Figure::clamped(1e6),
            keepalive: Whole::clamped(upstreams.keepalive_ms * MS),
            max_open: Whole::clamped(upstreams.calls_out * OPEN_FOR_EACH_CALL),
            max_retry_after: Whole::clamped(3_000 * MS),
            most_tries: Whole::clamped(upstreams.most_tries),
            peers: false,
            probes: false,
            retry_after: true,
            second_copies: false,
            streams_per_conn: Whole::clamped(1),
        },
        ordinal: Whole::clamped(0),
        over_share_worth: Share::clamped(1.0),
        prices: PricesForm {
            connection: none,
            cross_zone: none,
            discovery: none,
            fleet: None,
            handshake: none,
            late_fail: none,
            moves: none,
            origin: none,
            peer: none,
            probe: none,
            waste: none,
        },
        report: ReportForm { fields: Vec::new(), how: ReportingForm::Off },
        rules: RulesForm {
            answer_slack: Whole::clamped(0),
            ask_within: Whole::clamped(10_000 * MS),
            cold_share: SomeShare::clamped(0.2),
            fall: Whole::clamped(1_500 * MS),
            key_rest: None,
            overload_factor: Positive::clamped(2.0),
            stop_sending_within: Whole::clamped(1_000 * MS),
            warm_up: Whole::clamped(10_000 * MS),
        },
        services: upstreams.services,
        tenants: Vec::new(),
        tick: Whole::clamped(MS),
        tier: Whole::clamped(0),
        weights: WeightsForm::Off,
        worth_by: WorthForm::Request,
        zone: Whole::clamped(0),
    }
}
