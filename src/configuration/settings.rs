//! The form of `settings`, and the values that the program makes of it.

use super::value::{
    words, Count, Figure, Place, Positive, Share, SomeShare, Span, SpanOrNone, Text, Whole, Word,
};
use crate::interface::{Class, Kind, Late, Limits, Repeat, Settings};
use eserde::Deserialize;
use serde::Serialize;

/// Most attempts that a message may be given.
const TRIES_MOST: u64 = 1_000_000;

/// The settings of a site, as the simulator's first message gives them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[allow(missing_docs)]
pub struct SettingsForm {
    pub azs: Vec<String>,
    pub callers: CallersForm,
    #[eserde(compat)]
    pub discovery: DiscoveryForm,
    pub domain: DomainForm,
    #[eserde(compat)]
    pub family: FamilyForm,
    #[eserde(compat)]
    pub fleet_size: Count,
    pub goal: GoalForm,
    pub kinds: Vec<String>,
    pub layers: Vec<String>,
    pub limits: SiteLimitsForm,
    #[eserde(compat)]
    pub ordinal: Place,
    #[eserde(compat)]
    pub over_share_worth: Share,
    pub prices: PricesForm,
    pub report: ReportForm,
    pub rules: RulesForm,
    pub services: Vec<ServiceForm>,
    pub tenants: Vec<TenantForm>,
    #[eserde(compat)]
    pub tick: Span,
    #[eserde(compat)]
    pub tier: Place,
    #[eserde(compat)]
    pub weights: WeightsForm,
    #[eserde(compat)]
    pub worth_by: WorthForm,
    #[eserde(compat)]
    pub zone: Place,
}

/// Client behaviour.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[allow(missing_docs)]
pub struct CallersForm {
    pub marks_retry: bool,
}

/// Facts of the kind of service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[allow(missing_docs)]
pub struct DomainForm {
    #[eserde(compat)]
    pub calls_out: Count,
    #[eserde(compat)]
    pub late: LateForm,
    pub notes: String,
    #[eserde(compat)]
    pub per_call: Vec<Count>,
    pub report_x0: String,
    pub report_x1: String,
    #[eserde(compat)]
    pub route_fee: Vec<Figure>,
    pub separate_routes: Vec<bool>,
    #[eserde(compat)]
    pub turned_away_price: Figure,
}

/// Weights of the parts of a result.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[allow(missing_docs)]
pub struct GoalForm {
    #[eserde(compat)]
    pub whole: Share,
    #[eserde(compat)]
    pub worst_class: Share,
    #[eserde(compat)]
    pub worst_tenant: Share,
    #[eserde(compat)]
    pub worst_window: Share,
}

/// What the site allows.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[allow(missing_docs)]
pub struct SiteLimitsForm {
    pub cancel: bool,
    #[eserde(compat)]
    pub connect_timeout: Span,
    #[eserde(compat)]
    pub cpu_us_per_request: Figure,
    #[eserde(compat)]
    pub cpu_us_per_s: Figure,
    #[eserde(compat)]
    pub keepalive: Span,
    #[eserde(compat)]
    pub max_open: Count,
    #[eserde(compat)]
    pub max_retry_after: SpanOrNone,
    #[eserde(compat)]
    pub most_tries: Whole<1, TRIES_MOST>,
    pub peers: bool,
    pub probes: bool,
    pub retry_after: bool,
    pub second_copies: bool,
    #[eserde(compat)]
    pub streams_per_conn: Count,
}

/// Points taken off a result.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[allow(missing_docs)]
pub struct PricesForm {
    #[eserde(compat)]
    pub connection: Figure,
    #[eserde(compat)]
    pub cross_zone: Figure,
    #[eserde(compat)]
    pub discovery: Figure,
    #[eserde(compat)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<Figure>,
    #[eserde(compat)]
    pub handshake: Figure,
    #[eserde(compat)]
    pub late_fail: Figure,
    #[eserde(compat)]
    pub moves: Figure,
    #[eserde(compat)]
    pub origin: Figure,
    #[eserde(compat)]
    pub peer: Figure,
    #[eserde(compat)]
    pub probe: Figure,
    #[eserde(compat)]
    pub waste: Figure,
}

/// What endpoints tell of their load.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[allow(missing_docs)]
pub struct ReportForm {
    pub fields: Vec<String>,
    #[eserde(compat)]
    pub how: ReportingForm,
}

/// Figures of the rules.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[allow(missing_docs)]
pub struct RulesForm {
    #[eserde(compat)]
    pub answer_slack: SpanOrNone,
    #[eserde(compat)]
    pub ask_within: Span,
    #[eserde(compat)]
    pub cold_share: SomeShare,
    #[eserde(compat)]
    pub fall: Span,
    #[eserde(compat)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_rest: Option<SpanOrNone>,
    #[eserde(compat)]
    pub overload_factor: Positive,
    #[eserde(compat)]
    pub stop_sending_within: SpanOrNone,
    #[eserde(compat)]
    pub warm_up: Span,
}

/// A class of message.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[allow(missing_docs)]
pub struct ServiceForm {
    #[eserde(compat)]
    pub aim: Span,
    #[eserde(compat)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub aim_stretch: Option<Figure>,
    #[eserde(compat)]
    pub deadline: Span,
    #[eserde(compat)]
    pub group: GroupForm,
    #[eserde(compat)]
    pub importance: Figure,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_order: Option<bool>,
    #[eserde(compat)]
    pub late_worth: Share,
    #[eserde(compat)]
    pub memory_span: SpanOrNone,
    #[eserde(compat)]
    pub name: Word,
    #[eserde(compat)]
    pub repeat: RepeatForm,
    pub stream: bool,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[allow(missing_docs)]
pub struct TenantForm {
    #[eserde(compat)]
    pub name: Text,
    #[eserde(compat)]
    pub portion: Share,
    #[eserde(compat)]
    pub quota_rps: Figure,
}

words! {
    /// Kinds of service; another one would need another relay.
    #[allow(missing_docs)]
    FamilyForm {
        Deliver = "deliver",
    }
}

words! {
    /// How changes of the list come.
    #[allow(missing_docs)]
    DiscoveryForm {
        Push = "push",
        Ask = "ask",
    }
}

words! {
    /// How worth falls after the aim.
    #[allow(missing_docs)]
    LateForm {
        Even = "even",
        ByHalf = "by_half",
    }
}

words! {
    /// When endpoints tell of their load.
    #[allow(missing_docs)]
    ReportingForm {
        Inline = "inline",
        OnProbe = "on_probe",
        Off = "off",
    }
}

words! {
    /// What an endpoint's share says.
    #[allow(missing_docs)]
    WeightsForm {
        Off = "off",
        Nominal = "nominal",
        Rough = "rough",
    }
}

words! {
    /// By what worth counts.
    #[allow(missing_docs)]
    WorthForm {
        Request = "request",
        Work = "work",
    }
}

words! {
    /// Which endpoints of a destination drop a repeat.
    #[allow(missing_docs)]
    GroupForm {
        All = "all",
        Zone = "zone",
    }
}

words! {
    /// What a repeat does.
    #[allow(missing_docs)]
    RepeatForm {
        Pure = "pure",
        Token = "token",
        SideEffect = "side_effect",
    }
}

impl ServiceForm {
    fn class(&self) -> Class {
        let repeat = match self.repeat {
            RepeatForm::Pure => Repeat::Safe,
            RepeatForm::Token => {
                Repeat::Keyed { memory: self.memory_span.get(), zone_only: self.group == GroupForm::Zone }
            }
            RepeatForm::SideEffect => Repeat::Unsafe,
        };
        Class {
            aim: self.aim.get(),
            deadline: self.deadline.get(),
            worth: self.importance.get(),
            late_worth: self.late_worth.get(),
            repeat,
            in_order: self.in_order == Some(true),
        }
    }
}

impl SettingsForm {
    /// What the decision module goes by.
    pub fn settings(&self) -> Settings {
        let SettingsForm { domain, limits, rules, .. } = self;
        let kinds = domain.separate_routes.iter().zip(&domain.per_call);
        Settings {
            senders: u32::try_from(self.fleet_size.get()).unwrap_or(u32::MAX),
            slots: domain.calls_out.size(),
            max_held: limits.max_open.size(),
            max_attempts: u32::try_from(limits.most_tries.get()).unwrap_or(u32::MAX),
            may_cancel: limits.cancel,
            must_subscribe: false,
            keepalive: limits.keepalive.get(),
            max_come_back: if limits.retry_after { limits.max_retry_after.get() } else { 0 },
            limits: match self.weights {
                WeightsForm::Off => Limits::Unlisted,
                WeightsForm::Nominal => Limits::Exact,
                WeightsForm::Rough => Limits::Rough,
            },
            late: match domain.late {
                LateForm::Even => Late::Even,
                LateForm::ByHalf => Late::Halves,
            },
            classes: self.services.iter().map(ServiceForm::class).collect(),
            kinds: kinds.map(|(apart, per_call)| Kind { apart: *apart, per_call: per_call.size() }).collect(),
            zone_fee: domain.route_fee.iter().map(|fee| fee.get()).collect(),
            zone: self.zone.size(),
            cross_zone: self.prices.cross_zone.get(),
            cold_share: rules.cold_share.get(),
            warm_up: rules.warm_up.get(),
            overload_factor: rules.overload_factor.get(),
            fall: rules.fall.get(),
            key_rest: rules.key_rest.map_or(0, |rest| rest.get()),
        }
    }

    /// The names of the classes, in their order.
    pub fn class_names(&self) -> Vec<String> {
        self.services.iter().map(|service| service.name.as_str().to_string()).collect()
    }
}
