//! Failures of measurements.

use snafu::Snafu;

/// A measurement could not be run to its end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Nothing is measured under this name yet.
    #[snafu(display("no measurement is written for {name}"))]
    Missing {
        /// The name.
        name: &'static str,
    },
    /// A step failed.
    #[snafu(display("could not {step}: {source}"))]
    Step {
        /// Which one.
        step: String,
        /// What was seen.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// A promise was broken or a figure is out of bounds.
    #[snafu(display("{detail}"))]
    Broken {
        /// What was seen.
        detail: String,
    },
}

impl Error {
    /// Wraps what a step reported.
    pub fn step<E>(step: impl Into<String>) -> impl FnOnce(E) -> Self
    where
        E: std::error::Error + Send + Sync + 'static,
    {
        let step = step.into();
        move |source| Self::Step {
            step,
            source: Box::new(source),
        }
    }
}
