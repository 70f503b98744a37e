//! Values that apply to programs and calls: fleet defaults, and the changes that exceptions make to them.

mod section;

use serde::{Deserialize, Serialize};

use crate::issue::ConfigReport;
use section::value_section;

value_section! {
    /// The budget of a program, including its child programs.
    BudgetValues, BudgetChanges {
        /// Tokens of prompts and answers, in total.
        tokens: u64 = 600_000, 1..=100_000_000;
        /// Model and service calls.
        calls: u32 = 200, 1..=100_000;
        /// Seconds from the first call to the last.
        seconds: u32 = 3_600, 1..=86_400;
        /// Levels of child programs.
        depth: u8 = 3, 0..=16;
    }
}

impl BudgetValues {
    /// Returns the budget of a new program.
    pub fn to_budget(self) -> ebony_types::ProgramBudget {
        ebony_types::ProgramBudget {
            tokens: self.tokens,
            calls: self.calls,
            seconds: self.seconds,
            depth: self.depth,
        }
    }
}

value_section! {
    /// Limits on a program apart from its budget.
    LimitValues, LimitChanges {
        /// Model turns.
        turns: u32 = 200, 1..=10_000;
        /// Tokens of the program's history.
        history_tokens: u64 = 540_000, 1..=2_000_000;
        /// Calls of the program that are waiting.
        waiting_calls: u32 = 8, 1..=8;
        /// Milliseconds that a call may take if its caller sets no deadline.
        call_timeout_ms: u32 = 120_000, 100..=600_000;
        /// Milliseconds that a program may pause for a tool before it ends.
        tool_timeout_ms: u32 = 600_000, 100..=86_400_000;
    }
}

value_section! {
    /// Limits of admission and queues.
    AdmissionValues, AdmissionChanges {
        /// Open programs that one entry owns.
        open_programs: u32 = 2_000, 1..=1_000_000;
        /// Open programs of one caller.
        caller_programs: u32 = 500, 1..=1_000_000;
        /// Calls that wait at one target.
        queue_calls: u32 = 64, 1..=10_000;
        /// Milliseconds that a call may wait at a target.
        queue_ms: u32 = 10_000, 10..=600_000;
    }
}

value_section! {
    /// Retries of calls that did not run.
    RetryValues, RetryChanges {
        /// Retries in percent of first attempts.
        percent: u32 = 10, 0..=100;
        /// Retries that are allowed regardless of the number of first attempts.
        minimum: u32 = 10, 0..=1_000;
        /// Attempts of one call, including the first.
        attempts: u32 = 3, 1..=10;
    }
}

value_section! {
    /// Weights of the scheduling policy.
    PolicyValues, PolicyChanges {
        /// The weight of program latency against wasted cache, from 0 to 1.
        latency_weight: f64 = 0.5, 0.0..=1.0;
    }
}

macro_rules! value_sections {
    ($($(#[$meta:meta])* $field:ident: $values:ident, $changes:ident;)*) => {
        /// The values that apply to one program or call.
        #[derive(Clone, Copy, Debug, Default, PartialEq)]
        #[derive(Serialize, Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct FleetValues {
            $($(#[$meta])* pub $field: $values,)*
        }

        impl FleetValues {
            /// Overrides the values that `changes` sets.
            pub fn overlay(&mut self, changes: &ValueChanges) {
                $(self.$field.overlay(&changes.$field);)*
            }

            /// Returns the changes that turn these values into `next`.
            pub fn changes_to(&self, next: &Self) -> ValueChanges {
                ValueChanges {
                    $($field: self.$field.changes_to(&next.$field),)*
                }
            }
        }

        /// Changes to some of the [`FleetValues`].
        #[derive(Clone, Copy, Debug, Default, PartialEq)]
        #[derive(Serialize, Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct ValueChanges {
            $(
                $(#[$meta])*
                #[serde(skip_serializing_if = "is_default")]
                pub $field: $changes,
            )*
        }

        impl ValueChanges {
            /// Returns changes that set every value to that of `values`.
            pub(crate) fn set_all(values: &FleetValues) -> Self {
                Self {
                    $($field: $changes::set_all(&values.$field),)*
                }
            }

            /// Reports changed values outside their bounds.
            pub(crate) fn check(&self, path: &str, report: &mut ConfigReport) {
                $(self.$field.check(&format!("{path}.{}", stringify!($field)), report);)*
            }
        }
    };
}

value_sections! {
    /// The budget of a program.
    budget: BudgetValues, BudgetChanges;
    /// Other limits on a program.
    limits: LimitValues, LimitChanges;
    /// Limits of admission and queues.
    admission: AdmissionValues, AdmissionChanges;
    /// Retries of calls that did not run.
    retries: RetryValues, RetryChanges;
    /// Weights of the scheduling policy.
    policy: PolicyValues, PolicyChanges;
}

impl FleetValues {
    /// Reports values outside their bounds.
    pub(crate) fn check(&self, path: &str, report: &mut ConfigReport) {
        ValueChanges::set_all(self).check(path, report);
    }
}

impl ValueChanges {
    /// Returns `true` if nothing is changed.
    pub fn is_empty(&self) -> bool {
        is_default(self)
    }
}

/// Returns `true` if a part of a change has its default value and is omitted from the JSON form.
pub(crate) fn is_default<T: Default + PartialEq>(part: &T) -> bool {
    *part == T::default()
}
