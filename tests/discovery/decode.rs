//! The decoder: lists in any pieces, of any layout, sound or not.

use crate::rig::{entry, names, whole};
use crate::seed;
use basaltloom::catalog::{Endpoint, EndpointState};
use basaltloom::protocol::discovery::{decode_update, Damage, Decoder, Heading, ListFault};
use bytes::Bytes;
use proptest::prelude::*;
use serde_json::Value;

type Decoded = Result<(Heading, Vec<Endpoint>), ListFault>;

fn in_pieces(text: &[u8], pieces: impl IntoIterator<Item = usize>) -> Decoded {
    let names = names();
    let (mut decoder, mut endpoints) = (Decoder::new(&names), Vec::new());
    let (mut rest, mut pieces) = (Bytes::copy_from_slice(text), pieces.into_iter());
    while !rest.is_empty() {
        let piece = pieces.next().unwrap_or(usize::MAX).min(rest.len());
        decoder.feed(rest.split_to(piece), &mut |e| endpoints.push(e))?;
    }
    Ok((decoder.finish()?, endpoints))
}

fn at_once(text: &str) -> Decoded {
    in_pieces(text.as_bytes(), [])
}

fn endpoint_names(text: &str) -> Vec<String> {
    at_once(text).unwrap().1.into_iter().map(|e| e.name).collect()
}

const LIST: &str = r#"{"seq":41,"whole":true,"hosts":[
  {"host":"s-1","dial":"10.1.0.18:5000","site":"b","class":"m2","block":3,"health":"active","share":1.5,"born_ms":0},
  {"host":"s-2","dial":"[::1]:80","site":"?","class":"?","block":4,"health":"leaving","share":1.0,"born_ms":1764600000000},
  {"host":"s-3","dial":"10.1.0.19:5000","block":5,"health":"left"}]}"#;

/// Guards the meaning of each member, and that of those left out or unknown.
#[test]
fn an_entry_is_what_its_members_say() {
    let (heading, endpoints) = at_once(LIST).unwrap();
    assert_eq!((heading.seq, heading.whole, heading.skipped.count), (41, true, 0));
    let seen =
        |e: &Endpoint| (e.name.clone(), e.address.to_string(), e.dest, e.kind, e.zone, e.state, e.share);
    let s = str::to_string;
    let expected = [
        (s("s-1"), s("10.1.0.18:5000"), 3, 1, 1, EndpointState::Active, 1.5),
        (s("s-2"), s("[::1]:80"), 4, usize::MAX, 0, EndpointState::Leaving, 1.0),
        (s("s-3"), s("10.1.0.19:5000"), 5, usize::MAX, 0, EndpointState::Left, 1.0),
    ];
    assert_eq!(endpoints.iter().map(seen).collect::<Vec<_>>(), expected);
}

/// Guards lists that other writers lay out: indented, members in any order, unknown ones of any form, `hosts` first.
#[test]
fn members_come_in_any_order_and_layout() {
    let text = "\r\n{ \"more\" : [ { \"hosts\" : [ 1 , { } ] } , [ [ ] ] , \"]}\" ] ,\n\t\"hosts\" : [ {\n\t\t\
        \"extra\" : { \"host\" : \"no\" } , \"health\" : \"active\" , \"block\" : 3e0 , \"labels\" : [ \"x\" ] ,\n\
        \"dial\" : \"10.0.0.1:1\" , \"host\" : \"a\" , \"none\" : null } ] ,\n \"whole\" : false , \"n\" : -1.5e-3 ,\n\
        \"seq\" : 7 , \"yes\" : true }\n ";
    let (heading, endpoints) = at_once(text).unwrap();
    assert_eq!((heading.seq, heading.whole, heading.skipped.count), (7, false, 0));
    assert_eq!((endpoints.len(), endpoints[0].name.as_str(), endpoints[0].dest), (1, "a", 3));
}

/// Guards names that hold escapes.
#[test]
fn escapes_are_undone() {
    for (escaped, plain) in [
        (r#"a\"\\\/\b\f\n\r\tz"#, "a\"\\/\u{8}\u{c}\n\r\tz"),
        (r"\u00e9\u20ac", "é€"),
        (r"\ud83d\ude00!", "😀!"),
        ("é€😀", "é€😀"),
    ] {
        let (heading, endpoints) = at_once(&whole(1, &[entry(escaped, "active")])).unwrap();
        assert_eq!((heading.skipped.count, endpoints[0].name.as_str()), (0, plain));
    }
    let (_, endpoints) = at_once(&LIST.replace("\"host\"", r#""\u0068ost""#)).unwrap();
    assert_eq!(endpoints.len(), 3);
}

/// Guards lists that name an endpoint twice: each mention is passed on, in order.
#[test]
fn what_is_listed_twice_is_passed_on_twice() {
    assert_eq!(
        endpoint_names(&whole(1, &[entry("a", "active"), entry("b", "active"), entry("a", "left")])),
        ["a", "b", "a"]
    );
    let twice = r#"{"seq":1,"seq":2,"whole":true,"hosts":[{"host":"x","host":"y","dial":"1.1.1.1:1","block":1,"health":"active"}]}"#;
    let (heading, endpoints) = at_once(twice).unwrap();
    assert_eq!(
        (heading.seq, endpoints[0].name.as_str()),
        (2, "y"),
        "of a member that comes twice the last one counts"
    );
}

/// Guards a list from one entry that cannot be used: it alone is left out, counted and named.
#[test]
fn a_bad_entry_is_skipped_and_named() {
    let good = entry("good", "active");
    for (bad, named) in [
        (good.replace(r#""host":"good","#, ""), "#1 (no `host`)"),
        (good.replace(r#""host":"good""#, r#""host":5"#), "#1 (bad `host`)"),
        (entry("x", "active").replace("10.1.0.1:5000", "10.1.0.1"), "x (bad `dial`)"),
        (entry("x", "active").replace(r#""block":3"#, r#""block":"3""#), "x (bad `block`)"),
        (entry("x", "active").replace(r#""block":3"#, r#""block":-3"#), "x (bad `block`)"),
        (entry("x", "active").replace(r#""block":3"#, r#""block":3.5"#), "x (bad `block`)"),
        (entry("x", "active").replace(r#""block":3"#, r#""block":1e300"#), "x (bad `block`)"),
        (entry("x", "active").replace(r#""block":3,"#, ""), "x (no `block`)"),
        (entry("x", "active").replace(r#""share":1.0"#, r#""share":-1.0"#), "x (bad `share`)"),
        (entry("x", "active").replace(r#""health":"active""#, r#""health":[{}]"#), "x (bad `health`)"),
        (entry("x", "active").replace(r#""health":"active""#, r#""health":null"#), "x (no `health`)"),
        (entry("x", "active").replace(r#""share":1.0"#, r#""share":{"a":[1]}"#), "x (bad `share`)"),
        ("[{\"host\":1}]".to_string(), "#1 (no object)"),
        ("null".to_string(), "#1 (no object)"),
    ] {
        let text = whole(1, &[good.clone(), bad, entry("last", "active")]);
        let (heading, endpoints) = at_once(&text).unwrap_or_else(|f| panic!("{f:?} of {text}"));
        assert_eq!(
            (heading.skipped.count, &heading.skipped.names[..]),
            (1, &[named.to_string()][..]),
            "{text}"
        );
        assert_eq!(endpoints.iter().map(|e| e.name.as_str()).collect::<Vec<_>>(), ["good", "last"], "{text}");
    }
    let bad = vec![entry("x", "active").replace("dial", "dail"); 30];
    let (heading, _) = at_once(&whole(1, &[bad, vec![good]].concat())).unwrap();
    assert_eq!((heading.skipped.count, heading.skipped.names.len()), (30, 5));
}

/// Guards the list in force from one that ends in the middle, wherever that is.
#[test]
fn a_list_cut_at_any_byte_is_known_as_cut() {
    for end in 0..LIST.len() {
        let cut = in_pieces(&LIST.as_bytes()[..end], [end / 2]);
        assert_eq!(cut, Err(ListFault::Cut { offset: end as u64 }));
    }
}

/// Guards what is told of damage: its place, wherever that is and however the bytes come.
#[test]
fn damage_is_told_with_its_place() {
    for place in 0..LIST.len() {
        let mut bytes = LIST.as_bytes().to_vec();
        bytes[place] = 1;
        let fault = ListFault::Damaged { offset: place as u64, damage: Damage::Syntax };
        for piece in [1, 7, usize::MAX] {
            assert_eq!(in_pieces(&bytes, std::iter::repeat(piece)), Err(fault), "in pieces of {piece}");
        }
    }
    let damaged = |text: &str, offset, damage| {
        assert_eq!(at_once(text), Err(ListFault::Damaged { offset, damage }), "{text}");
    };
    damaged(r#"{"seq":1,"whole":true,"hosts":[]}}"#, 33, Damage::Syntax);
    damaged(r#"{"seq":1,"whole":true,"hosts":[,]}"#, 31, Damage::Syntax);
    damaged(r#"[1]"#, 0, Damage::NotAnObject);
    damaged(r#"{"seq":"1"}"#, 9, Damage::Wrong("seq"));
    damaged(r#"{"seq":-1}"#, 9, Damage::Wrong("seq"));
    damaged(r#"{"whole":1}"#, 10, Damage::Wrong("whole"));
    damaged(r#"{"hosts":{}}"#, 9, Damage::Wrong("hosts"));
    damaged(r#"{"hosts":[],"hosts":[]}"#, 20, Damage::Wrong("hosts"));
    damaged(r#"{"whole":true,"hosts":[]}"#, 25, Damage::Missing("seq"));
    damaged(r#"{"seq":1,"hosts":[]}"#, 20, Damage::Missing("whole"));
    let mut not_utf8 = LIST.as_bytes().to_vec();
    not_utf8[LIST.find("s-1").unwrap()] = 0xff;
    let offset = (LIST.find("s-1").unwrap() + 3) as u64;
    assert_eq!(in_pieces(&not_utf8, []), Err(ListFault::Damaged { offset, damage: Damage::Encoding }));
}

/// Guards memory from a text that never comes to an end of a name.
#[test]
fn a_token_without_end_is_damage() {
    let text = format!(r#"{{"seq":1,"whole":true,"hosts":[{{"host":"{}"#, "x".repeat(200_000));
    let fault = ListFault::Damaged { offset: 38, damage: Damage::TooLong };
    assert_eq!(in_pieces(text.as_bytes(), std::iter::repeat(4096)), Err(fault));
    let deep = format!(r#"{{"x":{}"#, "[".repeat(100_000));
    assert!(matches!(at_once(&deep), Err(ListFault::Damaged { offset: 0..1_000, damage: Damage::Syntax })));
}

/// Guards the list in force: what says that there is nothing empties it, what is no list does not.
#[test]
fn only_a_sound_list_is_empty() {
    let (heading, endpoints) = at_once(r#"{"seq":5,"whole":true,"hosts":[]}"#).unwrap();
    assert_eq!((heading.seq, heading.whole, endpoints.len()), (5, true, 0));
    let no_hosts = r#"{"seq":5,"whole":true}"#;
    let fault = |text: &str, damage| ListFault::Damaged { offset: text.len() as u64, damage };
    assert_eq!(at_once(no_hosts), Err(fault(no_hosts, Damage::Missing("hosts"))));
    let unusable = whole(5, &["{}".to_string(), "{}".to_string()]);
    assert_eq!(at_once(&unusable), Err(fault(&unusable, Damage::NoneUsable)));
    let changes = r#"{"seq":5,"whole":false,"hosts":[{}]}"#;
    assert_eq!(at_once(changes).unwrap().0.skipped.count, 1, "among changes there is nothing to be lost");
    assert!(at_once(r#"{"seq":5,"whole":false}"#).is_ok());
}

/// A member of an entry, some of them bad, some unknown.
fn member() -> impl Strategy<Value = (String, String)> {
    let known = prop_oneof![
        Just("host"),
        Just("dial"),
        Just("site"),
        Just("class"),
        Just("block"),
        Just("health"),
        Just("share"),
        Just("weight"),
        Just("max_conns"),
        Just("backup"),
        Just("born_ms"),
        Just("other"),
    ];
    let value = prop_oneof![
        Just(r#""10.0.0.7:80""#.to_string()),
        Just(r#""active""#.to_string()),
        Just(r#""m2""#.to_string()),
        Just("true".to_string()),
        Just("null".to_string()),
        Just(r#"{"a":[1,"}"]}"#.to_string()),
        Just(r#""\u00e9\n\"""#.to_string()),
        (-5i32..5000).prop_map(|n| n.to_string()),
        (0.0f64..9.0).prop_map(|n| format!("{n:.3}")),
    ];
    (known.prop_map(str::to_string), value)
}

/// The members of an entry that can be used unless one of the others spoils it.
fn members() -> impl Strategy<Value = Vec<(String, String)>> {
    let sound = |name: u32| {
        vec![
            ("host".to_string(), format!(r#""s-{name}""#)),
            ("dial".to_string(), r#""10.0.0.1:5000""#.to_string()),
            ("block".to_string(), (name % 7).to_string()),
            ("health".to_string(), r#""active""#.to_string()),
        ]
    };
    let others = proptest::collection::vec(member(), 0..3);
    let all = (any::<u32>(), others).prop_map(move |(name, others)| {
        let mut all = sound(name);
        for (name, value) in others {
            all.retain(|(other, _)| *other != name);
            all.push((name, value));
        }
        all
    });
    all.prop_shuffle()
}

fn object(members: Vec<(String, String)>, blank: &str) -> String {
    let members: Vec<_> = members.iter().map(|(n, v)| format!("\"{n}\"{blank}:{blank}{v}")).collect();
    format!("{{{blank}{}{blank}}}", members.join(&format!("{blank},{blank}")))
}

/// A list in some layout, its members in some order.
fn text() -> impl Strategy<Value = String> {
    let entries = proptest::collection::vec(members(), 0..12);
    let blank = prop_oneof![Just(""), Just(" "), Just("\n    "), Just("\r\n\t")];
    (entries, blank, any::<bool>(), Just(vec![0, 1, 2, 3]).prop_shuffle()).prop_map(
        |(entries, blank, whole, order)| {
            let hosts: Vec<String> = entries.into_iter().map(|e| object(e, blank)).collect();
            let hosts = format!("[{}]", hosts.join(&format!("{blank},{blank}")));
            let top = [
                ("seq", "41".to_string()),
                ("whole", whole.to_string()),
                ("hosts", hosts),
                ("x", "[{}]".to_string()),
            ];
            let top = order.into_iter().map(|i: usize| (top[i].0.to_string(), top[i].1.clone())).collect();
            object(top, blank)
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, rng_seed: seed::seed(), ..ProptestConfig::default() })]

    /// Guards the decoder against its own pieces, and both decoders against each other: however a list is laid out and
    /// cut into pieces, it says what the list read whole says.
    #[test]
    fn any_list_in_any_pieces_is_what_it_is_when_read_whole(
        text in text(),
        pieces in proptest::collection::vec(1usize..40, 0..200),
    ) {
        let value: Value = text.parse().unwrap();
        let known = decode_update(&value, &names()).unwrap();
        let listed = value["hosts"].as_array().unwrap().len();
        match in_pieces(text.as_bytes(), pieces) {
            Ok((heading, endpoints)) => {
                prop_assert_eq!((heading.seq, heading.whole), (known.seq, known.whole));
                prop_assert_eq!(heading.skipped.count, listed - endpoints.len());
                prop_assert_eq!(endpoints, known.endpoints);
            }
            Err(fault) => {
                let offset = text.len() as u64;
                prop_assert_eq!(fault, ListFault::Damaged { offset, damage: Damage::NoneUsable });
                prop_assert!(known.whole && listed > 0 && known.endpoints.is_empty());
            }
        }
    }
}
