//! Validation of the two lists reports all violations at once, each with its JSON path.

use domain::lists::Lists;

struct Case {
    name: &'static str,
    json: &'static str,
    paths: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "empty",
        json: r#"{"customers":[],"plans":[]}"#,
        paths: &[],
    },
    Case {
        name: "unknown plan and duplicate customer",
        json: r#"{"customers":[
            {"name":"a","plan":"gold","key_digests":[]},
            {"name":"a","plan":"gold","key_digests":[]}],"plans":[]}"#,
        paths: &[
            "$.customers[0].plan",
            "$.customers[1].name",
            "$.customers[1].plan",
        ],
    },
    Case {
        name: "bad share, no version, bad name",
        json: r#"{"customers":[],"plans":[{"name":"p q","share":0,
            "models":[{"model":"m","versions":[]}],"services":["s","/"]}]}"#,
        paths: &[
            "$.plans[0].name",
            "$.plans[0].share",
            "$.plans[0].models[0].versions",
            "$.plans[0].services[1]",
        ],
    },
];

#[test]
fn all_violations_are_reported_with_their_paths() {
    for case in CASES {
        let lists: Lists = serde_json::from_str(case.json).unwrap();
        let violations = lists.violations();
        let paths: Vec<_> = violations
            .iter()
            .map(|violation| violation.path.as_str())
            .collect();
        assert_eq!(paths, case.paths, "{}", case.name);
    }
}
