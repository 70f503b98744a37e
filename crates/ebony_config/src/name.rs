//! Names that only the configuration uses.

use ebony_types::name_type;

name_type! {
    /// Names a group of callers that share service-level objectives.
    GroupName
}

name_type! {
    /// Names an operator.
    OperatorName
}

name_type! {
    /// Names an exception.
    ExceptionName
}
