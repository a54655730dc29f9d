//! How much of a list is taken in, as the configuration says.

use crate::page_form::page_form_with;
use basaltloom::configuration::{judge, Configuration, Faults};
use serde_json::Value;

/// The configuration with these limits on memory and lists.
fn configuration(memory: Value, list: Value) -> Result<Configuration, Faults> {
    judge(&page_form_with([("/limits/memory_mb", memory), ("/limits/list_mb", list)]).to_string(), None)
}

/// Guards the cap on lists: the operator's word, else half of the memory; never under 4 MiB by itself.
#[test]
fn the_cap_is_a_setting_or_fits_the_memory() {
    for (memory, list, bytes) in [
        (2048.into(), Value::Null, 1_024_000_000),
        (192.into(), Value::Null, 96_000_000),
        (8.into(), Value::Null, 4 << 20),
        (192.into(), 1.5.into(), 1_500_000),
    ] {
        assert_eq!(configuration(memory, list).unwrap().list.bytes, bytes);
    }
    for list in [0.into(), (-3).into(), "64".into()] {
        let faults = configuration(192.into(), list).unwrap_err().to_string();
        assert!(faults.contains("limits.list_mb"), "{faults}");
    }
    for memory in [0.into(), Value::Null] {
        let faults = configuration(memory, Value::Null).unwrap_err().to_string();
        assert!(faults.contains("limits.memory_mb"), "{faults}");
    }
}
