//! Guards `docs/CAPACITY.md` and `docs/measurements/scale.md`: their tables are what the runs' files give.

mod scale;

use scale::capacity::capacity;
use scale::run_file::{Run, Value, FOLDER};
use scale::tables::{measured, rewrite, Fault, Runs};
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn runs() -> Runs {
    Run::all(&root().join(FOLDER)).unwrap()
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join("docs").join(name)).unwrap()
}

/// Guards against figures on a page that no run gave, or an older one: made anew, the tables are the same.
#[test]
fn tables_of_the_pages_are_what_the_files_give() {
    let runs = runs();
    for (name, make) in [
        ("CAPACITY.md", capacity as fn(&Runs, &str) -> Result<String, Fault>),
        ("measurements/scale.md", measured),
    ] {
        let page = page(name);
        assert!(page.contains("<!-- table: "), "{name} has no table");
        let made = rewrite(&page, |table| make(&runs, table)).unwrap_or_else(|why| panic!("{name}: {why}"));
        let differs = page.lines().zip(made.lines()).find(|(there, made)| there != made);
        assert!(page == made, "{name} is not what the files give, make it anew with `cargo bench --bench scale -- tables`; first: {differs:?}");
    }
}

/// Guards the links: each file that a page cites is there.
#[test]
fn files_that_the_pages_cite_are_there() {
    for name in ["CAPACITY.md", "measurements/scale.md"] {
        let page = page(name);
        let folder = root().join("docs").join(name).parent().unwrap().to_path_buf();
        let cited = page.split("](").skip(1).filter_map(|rest| rest.split(')').next());
        let files: Vec<PathBuf> = cited.filter(|at| !at.contains("://")).map(|at| folder.join(at)).collect();
        assert!(name != "CAPACITY.md" || !files.is_empty(), "{name} cites nothing");
        for file in files {
            assert!(file.exists(), "{name} cites {}", file.display());
        }
    }
}

/// Guards the check itself: a changed figure, a missing file and a damaged mark are found.
#[test]
fn a_changed_figure_or_a_missing_file_is_found() {
    let mut runs = runs();
    let page = page("CAPACITY.md");
    let again = |runs: &Runs, page: &str| rewrite(page, |table| capacity(runs, table));
    let file = "destinations-after.json";
    assert!(page.contains(file));
    // A line that was carried shows its value at the planned size, one that was measured there the row's.
    let carried = "relays-before.json";
    let fits = &mut runs.get_mut(carried).unwrap().fits;
    fits.iter_mut().for_each(|fit| fit.value_at *= 2.0);
    assert_ne!(again(&runs, &page).unwrap(), page, "a line's value");
    runs = self::runs();
    let rows = &mut runs.get_mut(file).unwrap().rows;
    rows.last_mut().unwrap().insert("resident (MB)".to_string(), Value::Number(1.0));
    assert_ne!(again(&runs, &page).unwrap(), page, "a row's value");
    runs.remove(file);
    assert!(matches!(again(&runs, &page), Err(Fault::Missing { file: missing, .. }) if missing == file));
    let unended = page.replacen("<!-- end -->", "", page.matches("<!-- end -->").count());
    assert!(matches!(again(&runs, &unended), Err(Fault::Unended(_))));
}
