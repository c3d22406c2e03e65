//! The text that the engine makes: each token follows from the prompt, the versions and its place.

use domain::digest::Digest;
use serde_json::Value;

/// How many hexadecimal digits of a digest make up a token.
const TOKEN_DIGITS: usize = 6;

/// The prompt of a request: the contents of its messages, one after the other.
pub fn prompt(messages: &Value) -> String {
    messages
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|message| message.get("content")?.as_str())
        .collect::<Vec<_>>()
        .join("\n")
}

/// Token number `position`, from 1 on. Another prompt, model or adapter gives another text.
pub fn token(model: &str, adapter: Option<&str>, prompt: &str, position: u32) -> String {
    let adapter = adapter.unwrap_or_default();
    let digest = Digest::of(format!("{model}/{adapter}/{position}/{prompt}").as_bytes());
    let mut text = digest.to_string();
    text.truncate(TOKEN_DIGITS);
    text.push(' ');
    text
}

/// The whole answer to a prompt.
pub fn answer(model: &str, adapter: Option<&str>, prompt: &str, tokens: u32) -> String {
    (1..=tokens)
        .map(|position| token(model, adapter, prompt, position))
        .collect()
}
