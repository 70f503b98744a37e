//! A macro that defines a section of values with its defaults, its bounds and the type of changes to it.

/// Takes `field: type = default, bounds;` for each value and defines two types: the values, and changes to some of them.
macro_rules! value_section {
    (
        $(#[$meta:meta])*
        $values:ident, $changes:ident {
            $($(#[$field_meta:meta])* $field:ident: $type:ty = $default:expr, $bounds:expr;)*
        }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq)]
        #[derive(Serialize, Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct $values {
            $($(#[$field_meta])* pub $field: $type,)*
        }

        impl Default for $values {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }

        impl $values {
            fn overlay(&mut self, changes: &$changes) {
                $(self.$field = changes.$field.unwrap_or(self.$field);)*
            }

            fn changes_to(&self, next: &Self) -> $changes {
                $changes {
                    $($field: (self.$field != next.$field).then_some(next.$field),)*
                }
            }
        }

        #[doc = concat!("Changes to some of the [`", stringify!($values), "`].")]
        #[derive(Clone, Copy, Debug, Default, PartialEq)]
        #[derive(Serialize, Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct $changes {
            $(
                $(#[$field_meta])*
                #[serde(skip_serializing_if = "Option::is_none")]
                pub $field: Option<$type>,
            )*
        }

        impl $changes {
            fn set_all(values: &$values) -> Self {
                Self { $($field: Some(values.$field),)* }
            }

            fn check(&self, path: &str, report: &mut ConfigReport) {
                $(
                    let bounds = $bounds;
                    if let Some(found) = self.$field && !bounds.contains(&found) {
                        let path = format!("{path}.{}", stringify!($field));
                        let expected = format!("{} to {}", bounds.start(), bounds.end());
                        let found = found.to_string();
                        report.add(path, crate::issue::IssueKind::OutOfBounds { expected, found });
                    }
                )*
            }
        }
    };
}

pub(super) use value_section;
