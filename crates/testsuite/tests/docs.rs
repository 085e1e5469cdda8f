//! The pages under `docs` agree with the code and with each other.

use std::fs;
use std::path::{Path, PathBuf};

use masticarch_model::code;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join("docs").join(name)).unwrap()
}

/// All files below a directory whose names end in `suffix`.
fn files_below(directory: &Path, suffix: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(files_below(&path, suffix));
        } else if path.to_string_lossy().ends_with(suffix) {
            found.push(path);
        }
    }
    found
}

/// Number, reason, status and `masticarch-ran` value in each row of a table of result
/// codes.
fn rows_of(page: &str) -> Vec<Vec<String>> {
    page.lines()
        .filter(|line| {
            line.starts_with("| ") && line[2..].starts_with(|c: char| c.is_ascii_digit())
        })
        .map(|line| {
            let cells = line.trim_matches('|').split('|');
            let clean = |cell: &str| cell.trim().trim_matches('`').to_owned();
            cells.take(4).map(clean).collect()
        })
        .collect()
}

/// The same rows as the code defines them. Status and `masticarch-ran` value are left
/// empty for codes from 2000, which callers never get.
fn rows_of_code() -> Vec<Vec<String>> {
    let row = |code: &code::Code| {
        let to_caller = code.number() < 2000;
        let cell = |text: String| if to_caller { text } else { String::new() };
        vec![
            code.number().to_string(),
            code.reason().to_owned(),
            cell(code.status().to_string()),
            cell(code.ran().to_string()),
        ]
    };
    code::Code::ALL.iter().map(row).collect()
}

/// Relative link targets of a page, without anchors.
fn links_of(text: &str) -> Vec<String> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next())
        .filter(|link| !link.contains("://") && !link.starts_with('#'))
        .map(|link| link.split('#').next().unwrap_or_default().to_owned())
        .collect()
}

/// The names of all test functions of the workspace.
fn test_names() -> Vec<String> {
    ["crates", "platform"]
        .iter()
        .flat_map(|directory| files_below(&root().join(directory), ".rs"))
        .filter(|path| path.components().any(|part| part.as_os_str() == "tests"))
        .flat_map(|path| {
            let text = fs::read_to_string(path).unwrap();
            let names = text
                .lines()
                .filter_map(|line| line.trim().strip_prefix("fn "))
                .filter_map(|rest| rest.split('(').next().map(str::to_owned));
            names.collect::<Vec<_>>()
        })
        .collect()
}

// Guards against a table of result codes that differs from the code.
#[test]
fn table_of_result_codes_is_that_of_the_code() {
    let written = rows_of(&page("result-codes.md"));

    assert_eq!(written, rows_of_code());
}

// Guards against links to pages that do not exist.
#[test]
fn links_between_pages_lead_to_files() {
    let mut pages = files_below(&root().join("docs"), ".md");
    for name in ["README.md", "CONTRIBUTING.md", "CHANGELOG.md"] {
        pages.push(root().join(name));
    }

    let broken: Vec<_> = pages
        .iter()
        .flat_map(|page| {
            let directory = page.parent().unwrap().to_path_buf();
            let links = links_of(&fs::read_to_string(page).unwrap());
            let missing = move |link: &String| !directory.join(link).exists();
            let page = page.display().to_string();
            let named = move |link| format!("{page}: {link}");
            links.into_iter().filter(missing).map(named)
        })
        .collect();

    assert!(broken.is_empty(), "{broken:#?}");
}

// Guards against pages that cannot be reached from the summary.
#[test]
fn every_page_is_in_the_summary() {
    let summary = page("SUMMARY.md");
    let directory = root().join("docs");

    let missing: Vec<_> = files_below(&directory, ".md")
        .iter()
        .map(|path| path.strip_prefix(&directory).unwrap().display().to_string())
        .filter(|name| name != "SUMMARY.md" && !summary.contains(&format!("({name})")))
        .collect();

    assert!(missing.is_empty(), "{missing:?}");
}

// Guards against a proof that refers to a test which was renamed or removed.
#[test]
fn tests_named_as_proofs_exist() {
    let path = root().join("docs/PROOFS.md");
    let text = fs::read_to_string(path).unwrap_or_default();
    let names = test_names();

    let missing: Vec<_> = text
        .lines()
        .filter(|line| line.starts_with('|'))
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        // A code span counts as the name of a test when it is in snake case and longer
        // than 20 bytes, as shorter names may be those of other items.
        .filter(|span| {
            span.len() > 20
                && span
                    .bytes()
                    .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'_')
        })
        .filter(|name| !names.iter().any(|known| known == name))
        .collect();

    assert!(missing.is_empty(), "{missing:?}");
}
