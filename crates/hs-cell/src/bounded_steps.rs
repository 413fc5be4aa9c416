//! Decodes the steps of a job up to their maximum number.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Deserialize, Deserializer, Error, SeqAccess, Visitor};

use crate::job_spec::MAX_STEPS;

/// Deserializes at most [`MAX_STEPS`] steps. An empty step has three bytes and takes many times as much when decoded, so
/// that further ones are refused before they are decoded.
///
/// # Errors
///
/// Returns the error of the deserializer, or one that names the maximum.
pub fn bounded_steps<'de, D, Step>(deserializer: D) -> Result<Vec<Step>, D::Error>
where
    D: Deserializer<'de>,
    Step: Deserialize<'de>,
{
    deserializer.deserialize_seq(StepsVisitor(PhantomData))
}

struct StepsVisitor<Step>(PhantomData<Step>);

impl<'de, Step: Deserialize<'de>> Visitor<'de> for StepsVisitor<Step> {
    type Value = Vec<Step>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a list of at most {MAX_STEPS} steps")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
        let mut steps = Vec::new();
        while let Some(step) = list.next_element()? {
            if steps.len() == MAX_STEPS {
                return Err(A::Error::custom(format_args!(
                    "a job has 1 to {MAX_STEPS} steps, not more"
                )));
            }
            steps.push(step);
        }
        Ok(steps)
    }
}
