//! Checks of the two lists: every complaint at once, each with its path.

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
        name: "unknown plan and doubled customer",
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
fn every_violation_has_its_path() {
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
