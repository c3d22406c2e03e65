//! The pages: tests named in the proofs exist, and links lead somewhere.
#![allow(clippy::unwrap_used)]

use std::{
    fs,
    path::{Path, PathBuf},
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn pages() -> Vec<PathBuf> {
    let markdown = |folder: PathBuf| {
        fs::read_dir(folder)
            .unwrap()
            .map(|entry| entry.unwrap().path())
            .filter(|path| path.extension().is_some_and(|extension| extension == "md"))
            .collect::<Vec<_>>()
    };
    [
        markdown(root()),
        markdown(root().join("docs")),
        markdown(root().join("docs/examples")),
    ]
    .concat()
}

/// Tests are named as `package::file::function` or `package::folder::file::function`.
fn named_tests(page: &str) -> Vec<Vec<&str>> {
    page.split('`')
        .skip(1)
        .step_by(2)
        .map(|code| code.split("::").collect::<Vec<_>>())
        .filter(|parts| (3..=4).contains(&parts.len()) && parts.iter().all(is_name))
        .collect()
}

fn is_name(part: &&str) -> bool {
    !part.is_empty() && part.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
}

fn stands_in_its_file(parts: &[&str]) -> bool {
    let [package, file @ .., function] = parts else {
        return false;
    };
    // The border to the users' platform is a folder of its own beside the packages.
    let folder = match *package {
        "platform" => "platform".to_owned(),
        package => format!("crates/{package}"),
    };
    let path = root().join(format!("{folder}/tests/{}.rs", file.join("/")));
    let text = fs::read_to_string(path).unwrap_or_default();
    text.contains(&format!("fn {function}("))
}

#[test]
fn every_test_named_in_the_proofs_exists() {
    let page = fs::read_to_string(root().join("docs/PROOFS.md")).unwrap();
    let named = named_tests(&page);
    let missing: Vec<String> = named
        .iter()
        .filter(|parts| !stands_in_its_file(parts))
        .map(|parts| parts.join("::"))
        .collect();
    assert!(!named.is_empty(), "docs/PROOFS.md names no test");
    assert!(
        missing.is_empty(),
        "named in docs/PROOFS.md but not there: {missing:?}"
    );
}

#[test]
fn every_link_between_the_pages_leads_to_a_file() {
    let mut broken = Vec::new();
    for path in pages() {
        let text = fs::read_to_string(&path).unwrap();
        let targets = text
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split(')').next());
        for target in targets.filter(|target| !target.contains("://")) {
            let file = target.split('#').next().unwrap();
            if !file.is_empty() && !path.parent().unwrap().join(file).exists() {
                broken.push(format!("{}: {target}", path.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}
